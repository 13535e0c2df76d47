package wire

// Kind implements Message.
func (Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (Proof) Kind() Kind { return KindProof }

// Kind implements Message.
func (Ready) Kind() Kind { return KindReady }

// Kind implements Message.
func (Error) Kind() Kind { return KindError }

// Kind implements Message.
func (Cancel) Kind() Kind { return KindCancel }

// Kind implements Message.
func (Credit) Kind() Kind { return KindCredit }

// Kind implements Message.
func (Ping) Kind() Kind { return KindPing }

// Kind implements Message.
func (Ack) Kind() Kind { return KindAck }

// Kind implements Message.
func (Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (HeartbeatAck) Kind() Kind { return KindHeartbeatAck }

// Kind implements Message.
func (Forward) Kind() Kind { return KindForward }

// Kind implements Message.
func (Chunk) Kind() Kind { return KindChunk }

// Kind implements Message.
func (Submit) Kind() Kind { return KindSubmit }

// Kind implements Message.
func (Withdraw) Kind() Kind { return KindWithdraw }

// Kind implements Message.
func (Done) Kind() Kind { return KindDone }

// Kind implements Message.
func (Grant) Kind() Kind { return KindGrant }

// Kind implements Message.
func (Refuse) Kind() Kind { return KindRefuse }

// Kind implements Message.
func (Running) Kind() Kind { return KindRunning }

// Kind implements Message.
func (ProgramPaused) Kind() Kind { return KindProgramPaused }

// Kind implements Message.
func (ProgramEnded) Kind() Kind { return KindProgramEnded }

// Kind implements Message.
func (CopyPut) Kind() Kind { return KindCopyPut }

// Kind implements Message.
func (CopyGet) Kind() Kind { return KindCopyGet }

// Kind implements Message.
func (Copies) Kind() Kind { return KindCopies }

// Kind implements Message.
func (CopyDrop) Kind() Kind { return KindCopyDrop }

// Kind implements Message.
func (ManifestGet) Kind() Kind { return KindManifestGet }

// Kind implements Message.
func (Manifest) Kind() Kind { return KindManifest }

// Kind implements Message.
func (Explain) Kind() Kind { return KindExplain }

// Kind implements Message.
func (Explained) Kind() Kind { return KindExplained }

// Kind implements Message.
func (StatusGet) Kind() Kind { return KindStatusGet }

// Kind implements Message.
func (Status) Kind() Kind { return KindStatus }

// Kind implements Message.
func (TurnBegin) Kind() Kind { return KindTurnBegin }

// Kind implements Message.
func (TurnBegun) Kind() Kind { return KindTurnBegun }

// Kind implements Message.
func (TurnConfirm) Kind() Kind { return KindTurnConfirm }

// Kind implements Message.
func (TurnEnd) Kind() Kind { return KindTurnEnd }

// Kind implements Message.
func (TurnFind) Kind() Kind { return KindTurnFind }

// Kind implements Message.
func (TurnFound) Kind() Kind { return KindTurnFound }

// Kind implements Message.
func (TurnAdopt) Kind() Kind { return KindTurnAdopt }

// Kind implements Message.
func (LoadReport) Kind() Kind { return KindLoadReport }

// Kind implements Message.
func (HistoryHold) Kind() Kind { return KindHistoryHold }

// Kind implements Message.
func (HistoryHeld) Kind() Kind { return KindHistoryHeld }

// Kind implements Message.
func (SendPermitGet) Kind() Kind { return KindSendPermitGet }

// Kind implements Message.
func (SendPermit) Kind() Kind { return KindSendPermit }

// Kind implements Message.
func (RequestCrashes) Kind() Kind { return KindRequestCrashes }

// Kind implements Message.
func (EndpointRequest) Kind() Kind { return KindEndpointRequest }

// Kind implements Message.
func (EndpointResponse) Kind() Kind { return KindEndpointResponse }

// Kind implements Message.
func (EndpointData) Kind() Kind { return KindEndpointData }

// Kind implements Message.
func (EndpointEnd) Kind() Kind { return KindEndpointEnd }

// Kind implements Message.
func (EndpointProbe) Kind() Kind { return KindEndpointProbe }

// Kind implements Message.
func (QuotaGet) Kind() Kind { return KindQuotaGet }

// Kind implements Message.
func (QuotaLease) Kind() Kind { return KindQuotaLease }

// Kind implements Message.
func (HistoryIndex) Kind() Kind { return KindHistoryIndex }

// Kind implements Message.
func (HistoryIndexed) Kind() Kind { return KindHistoryIndexed }

// Kind implements Message.
func (HistoryCollect) Kind() Kind { return KindHistoryCollect }

// Kind implements Message.
func (HistoryCollected) Kind() Kind { return KindHistoryCollected }

// Kind implements Message.
func (GroupChanged) Kind() Kind { return KindGroupChanged }

// Kind implements Message.
func (PartitionClaims) Kind() Kind { return KindPartitionClaims }

// Kind implements Message.
func (StoreViewGet) Kind() Kind { return KindStoreViewGet }

// Kind implements Message.
func (StoreView) Kind() Kind { return KindStoreView }

// Kind implements Message.
func (HistoryStored) Kind() Kind { return KindHistoryStored }

// Kind implements Message.
func (HistoryOffer) Kind() Kind { return KindHistoryOffer }

// decoders maps each kind to the decoder of its message type.
var decoders = [kindEnd]func([]byte) (Message, error){
	KindHello:            decodeAs[Hello],
	KindProof:            decodeAs[Proof],
	KindReady:            decodeAs[Ready],
	KindError:            decodeAs[Error],
	KindCancel:           decodeAs[Cancel],
	KindCredit:           decodeAs[Credit],
	KindPing:             decodeAs[Ping],
	KindAck:              decodeAs[Ack],
	KindHeartbeat:        decodeAs[Heartbeat],
	KindHeartbeatAck:     decodeAs[HeartbeatAck],
	KindForward:          decodeAs[Forward],
	KindChunk:            decodeAs[Chunk],
	KindSubmit:           decodeAs[Submit],
	KindWithdraw:         decodeAs[Withdraw],
	KindDone:             decodeAs[Done],
	KindGrant:            decodeAs[Grant],
	KindRefuse:           decodeAs[Refuse],
	KindRunning:          decodeAs[Running],
	KindProgramPaused:    decodeAs[ProgramPaused],
	KindProgramEnded:     decodeAs[ProgramEnded],
	KindCopyPut:          decodeAs[CopyPut],
	KindCopyGet:          decodeAs[CopyGet],
	KindCopies:           decodeAs[Copies],
	KindCopyDrop:         decodeAs[CopyDrop],
	KindManifestGet:      decodeAs[ManifestGet],
	KindManifest:         decodeAs[Manifest],
	KindExplain:          decodeAs[Explain],
	KindExplained:        decodeAs[Explained],
	KindStatusGet:        decodeAs[StatusGet],
	KindStatus:           decodeAs[Status],
	KindTurnBegin:        decodeAs[TurnBegin],
	KindTurnBegun:        decodeAs[TurnBegun],
	KindTurnConfirm:      decodeAs[TurnConfirm],
	KindTurnEnd:          decodeAs[TurnEnd],
	KindTurnFind:         decodeAs[TurnFind],
	KindTurnFound:        decodeAs[TurnFound],
	KindTurnAdopt:        decodeAs[TurnAdopt],
	KindLoadReport:       decodeAs[LoadReport],
	KindHistoryHold:      decodeAs[HistoryHold],
	KindHistoryHeld:      decodeAs[HistoryHeld],
	KindHistoryCollect:   decodeAs[HistoryCollect],
	KindHistoryCollected: decodeAs[HistoryCollected],
	KindGroupChanged:     decodeAs[GroupChanged],
	KindPartitionClaims:  decodeAs[PartitionClaims],
	KindStoreViewGet:     decodeAs[StoreViewGet],
	KindStoreView:        decodeAs[StoreView],
	KindHistoryStored:    decodeAs[HistoryStored],
	KindHistoryOffer:     decodeAs[HistoryOffer],
	KindHistoryIndex:     decodeAs[HistoryIndex],
	KindHistoryIndexed:   decodeAs[HistoryIndexed],
	KindSendPermitGet:    decodeAs[SendPermitGet],
	KindSendPermit:       decodeAs[SendPermit],
	KindRequestCrashes:   decodeAs[RequestCrashes],
	KindEndpointRequest:  decodeAs[EndpointRequest],
	KindEndpointResponse: decodeAs[EndpointResponse],
	KindEndpointData:     decodeAs[EndpointData],
	KindEndpointEnd:      decodeAs[EndpointEnd],
	KindEndpointProbe:    decodeAs[EndpointProbe],
	KindQuotaGet:         decodeAs[QuotaGet],
	KindQuotaLease:       decodeAs[QuotaLease],
}
