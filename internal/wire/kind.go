package wire

// Kind identifies the type of a message. The numbers are part of the protocol and are never reused.
type Kind uint8

// Kinds of messages.
const (
	KindHello Kind = iota + 1
	KindProof
	KindReady
	KindError
	KindCancel
	KindCredit
	KindPing
	KindAck
	KindHeartbeat
	KindHeartbeatAck
	KindForward
	KindChunk
	KindSubmit
	KindWithdraw
	KindDone
	KindGrant
	KindRefuse
	KindRunning
	KindProgramPaused
	KindProgramEnded
	KindCopyPut
	KindCopyGet
	KindCopies
	KindCopyDrop
	KindManifestGet
	KindManifest
	KindExplain
	KindExplained
	KindStatusGet
	KindStatus
	KindTurnBegin
	KindTurnBegun
	KindTurnConfirm
	KindTurnEnd
	KindTurnFind
	KindTurnFound
	KindTurnAdopt
	KindLoadReport
	KindHistoryHold
	KindHistoryHeld
	KindHistoryCollect
	KindHistoryCollected
	KindGroupChanged
	KindPartitionClaims
	KindStoreViewGet
	KindStoreView
	KindHistoryStored
	KindHistoryOffer
	KindHistoryIndex
	KindHistoryIndexed
	KindSendPermitGet
	KindSendPermit
	KindRequestCrashes
	KindEndpointRequest
	KindEndpointResponse
	KindEndpointData
	KindEndpointEnd
	KindEndpointProbe
	KindQuotaGet
	KindQuotaLease
	kindEnd // one above the last kind
)

var kindNames = [kindEnd]string{
	KindHello:            "hello",
	KindProof:            "proof",
	KindReady:            "ready",
	KindError:            "error",
	KindCancel:           "cancel",
	KindCredit:           "credit",
	KindPing:             "ping",
	KindAck:              "ack",
	KindHeartbeat:        "heartbeat",
	KindHeartbeatAck:     "heartbeat_ack",
	KindForward:          "forward",
	KindChunk:            "chunk",
	KindSubmit:           "submit",
	KindWithdraw:         "withdraw",
	KindDone:             "done",
	KindGrant:            "grant",
	KindRefuse:           "refuse",
	KindRunning:          "running",
	KindProgramPaused:    "program_paused",
	KindProgramEnded:     "program_ended",
	KindCopyPut:          "copy_put",
	KindCopyGet:          "copy_get",
	KindCopies:           "copies",
	KindCopyDrop:         "copy_drop",
	KindManifestGet:      "manifest_get",
	KindManifest:         "manifest",
	KindExplain:          "explain",
	KindExplained:        "explained",
	KindStatusGet:        "status_get",
	KindStatus:           "status",
	KindTurnBegin:        "turn_begin",
	KindTurnBegun:        "turn_begun",
	KindTurnConfirm:      "turn_confirm",
	KindTurnEnd:          "turn_end",
	KindTurnFind:         "turn_find",
	KindTurnFound:        "turn_found",
	KindTurnAdopt:        "turn_adopt",
	KindLoadReport:       "load_report",
	KindHistoryHold:      "history_hold",
	KindHistoryHeld:      "history_held",
	KindHistoryCollect:   "history_collect",
	KindHistoryCollected: "history_collected",
	KindGroupChanged:     "group_changed",
	KindPartitionClaims:  "holding",
	KindStoreViewGet:     "beliefs_get",
	KindStoreView:        "beliefs",
	KindHistoryStored:    "history_kept",
	KindHistoryOffer:     "history_offer",
	KindHistoryIndex:     "history_index",
	KindHistoryIndexed:   "history_indexed",
	KindSendPermitGet:    "send_permit_get",
	KindSendPermit:       "send_permit",
	KindRequestCrashes:   "request_crashes",
	KindEndpointRequest:  "endpoint_request",
	KindEndpointResponse: "endpoint_response",
	KindEndpointData:     "endpoint_data",
	KindEndpointEnd:      "endpoint_end",
	KindEndpointProbe:    "endpoint_probe",
	KindQuotaGet:         "quota_get",
	KindQuotaLease:       "quota_lease",
}

// LastKind is the last kind that this binary knows, and UnstatedLastKind that of binaries whose Hello states none. A
// message of a later kind ends the connection to such a peer.
const (
	LastKind         = kindEnd - 1
	UnstatedLastKind = KindHistoryIndexed
)

// Known reports whether this binary knows the kind.
func (k Kind) Known() bool { return k > 0 && k < kindEnd }

// String returns the name of the kind for logs.
func (k Kind) String() string {
	if !k.Known() {
		return "unknown"
	}
	return kindNames[k]
}

// Payload reports whether messages of the kind carry callers' data. Their bytes are counted separately
// from those of control messages, and control messages are sent before them.
func (k Kind) Payload() bool {
	switch k {
	case KindForward, KindChunk, KindCopyPut, KindCopyGet, KindCopies, KindManifestGet, KindManifest,
		KindExplain, KindExplained, KindTurnBegun, KindTurnEnd, KindTurnFound, KindTurnAdopt,
		KindHistoryHold, KindHistoryCollected, KindStoreView,
		KindEndpointRequest, KindEndpointResponse, KindEndpointData, KindEndpointEnd:
		return true
	default:
		return false
	}
}
