package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

	"ragwortstile/internal/history"
	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

// samples holds one message of each kind with its fields set.
func samples() []Message {
	call := id.Call{Program: "p01-x", Branch: "main", Seq: 3}
	request := sched.Request{ID: "p01-x/main/3/e1.1", Owner: "a.1", PromptTokens: 9, Deadline: time.Second, Avoid: []string{"e1"}}
	model := program.ModelCall{Program: "p01-x", Messages: []record.Message{{Raw: []byte("{}")}}, Stream: true}
	problem := &program.Problem{Type: "busy", Status: 503, Executed: record.ExecutedNo}
	return []Message{
		Hello{Session: "a.1", Zone: "z1", MinVersion: 1, MaxVersion: 2, Nonce: []byte{1}, KeyIDs: [][]byte{{2}}, Proof: []byte{3}},
		Proof{Proof: []byte{1}}, Ready{}, Error{Code: CodeBusy, Detail: "d", Holder: "b.1"}, Cancel{}, Credit{Bytes: 5}, Ping{}, Ack{},
		sampleHeartbeat(5, 4), Heartbeat{Leaving: []LeavingEndpoint{{Endpoint: "e1", AgeMS: 9}}}, sampleAck(12),
		Forward{Model: &model}, Forward{Open: &program.OpenProgram{Now: time.Unix(1_800_000_000, 5), Limits: record.Limits{Tokens: 5}}},
		Chunk{Reply: &program.Reply{Req: 1, Problem: problem, RetryAfter: time.Second, Call: call}},
		Submit{Pool: "m", Request: request}, Withdraw{Pool: "m", ID: request.ID},
		Done{Pool: "m", Done: sched.Done{ID: request.ID, Result: sched.ResultOK, Total: time.Minute}},
		Grant{Pool: "m", ID: request.ID, Endpoint: "e1", Reason: "r", Waited: time.Second},
		Refuse{Pool: "m", ID: request.ID, RetryAfter: time.Second},
		Running{Pool: "m", Calls: []RunningCall{{Request: request, Endpoint: "e1"}}},
		ProgramPaused{Pool: "m", Paused: sched.ProgramPaused{Program: "p01-x", Expected: time.Hour}},
		ProgramEnded{Pool: "m", Ended: sched.ProgramEnded{Program: "p01-x"}},
		CopyPut{Copy: Copy{Slot: 63, Epoch: 9, Session: "a.1", Ref: 7, Batch: []byte{1}}}, CopyGet{Slot: 1, Epoch: 2},
		Copies{Copies: []Copy{{Slot: 1}}, More: true}, CopyDrop{Slot: 1, Session: "a.1", Refs: []uint64{1, 1 << 60}},
		ManifestGet{Min: 3}, Manifest{Version: 4, Digest: "d", JSON: []byte("{}")},
		Explain{Team: "t", Program: "p01-x"}, Explained{Decisions: []program.Decision{{Call: call, Executed: record.ExecutedYes}}},
		TurnBegin{Part: 3, Begin: history.Begin{Program: "p", Turn: "t", Previous: "s", MaxTokens: 9, ExpectedTokens: 4, Budget: 99, EnforceBudget: true, HasChain: true, MaxDuration: time.Second}},
		TurnBegun{Outcome: history.Granted, Body: []byte("x")}, TurnConfirm{Part: 3, Program: "p", Turn: "t"},
		TurnEnd{Part: 3, End: history.End{Program: "p", Turn: "t", Complete: true, Input: []byte("i"), Output: []byte("o"), Tokens: 5, Reserved: 9, Confirmed: true, Retention: time.Minute}},
		TurnFind{Turn: "t"}, TurnFound{Found: true, Body: []byte("x"), Parts: []int{1, 2}, Doubtful: true},
		TurnAdopt{Part: 3, Turn: "t", Body: []byte("x"), Retention: time.Minute},
		HistoryHold{Part: 3, Epoch: 7, Records: [][]byte{{1}, {2}}}, HistoryHeld{Held: true, StoreReached: true, Replaced: true},
		HistoryIndex{Part: 3, Epoch: 7}, HistoryIndexed{Sums: []uint64{1, 1 << 60}},
		HistoryCollect{Part: 3, Sums: []uint64{1, 1 << 60}}, HistoryCollected{Records: [][]byte{{1}}}, HistoryStored{Part: 3, Epoch: 7}, HistoryOffer{Part: 3, Sums: []uint64{1}},
		GroupChanged{Stopping: true}, PartitionClaims{Member: "a@1.2.3.4:5", Claims: []Claim{{Part: 3, Epoch: 7}}},
		LoadReport{Endpoints: []EndpointLoad{{ID: "e1", Running: 2}}}, StoreViewGet{},
		LoadReport{Limits: []EndpointLimit{{ID: "e1", Limited: true, PerSecond: 2.5, Age: time.Second}, {ID: "e2"}}, Leaving: []EndpointLeaving{{ID: "e1", StartUnixMs: 7}}},
		LoadReport{Teams: []TeamService{{Service: "s1", Team: "t1", Milli: 1500, Wanted: 20}, {Milli: 20}}, Heard: 3},
		RequestCrashes{Crashes: []RequestCrash{{Request: RequestDigest{Path: 1, Body: 1 << 60}, Endpoint: "e1", Age: time.Second, Earlier: []string{"e2"}}}, Served: []RequestDigest{{Path: 2, Body: 3}}, PassOn: true},
		EndpointRequest{Endpoint: "e1", Addr: "10.0.0.1:80", RequestID: "r1", Method: "POST", URI: "/a?b", Host: "h", Header: map[string][]string{"A": {"b", "c"}}, Body: []byte("x"), Timeout: time.Second},
		EndpointResponse{Status: 200, Header: map[string][]string{"A": {"b"}}}, EndpointData{Data: []byte("x")}, EndpointEnd{},
		EndpointProbe{Endpoint: "e1", Addr: "10.0.0.1:80"},
		QuotaGet{Team: "t", Need: []int{1, 0, 2}, Extra: 3, Credits: []QuotaCredit{{Lease: 1 << 40, N: 2}}, Served: []uint64{1 << 60}, Unknown: []uint64{2}, Instances: 82},
		QuotaLease{Lease: 1 << 40, Granted: []int{1}, RetryAfter: []time.Duration{0, 0, time.Second}, Fresh: true, Begun: []uint64{2}, Loops: []uint64{3}, Known: 82, ToldOf: 90, Rank: 7},
		SendPermitGet{Limit: EndpointLimit{ID: "e1", Limited: true, PerSecond: 2.5, Age: time.Second}},
		SendPermit{Granted: true, Limit: EndpointLimit{ID: "e1"}}, SendPermit{RetryAfter: time.Second},
		StoreView{Config: []byte("{}"), Age: time.Second, Endpoints: []KeyedRecord{{Key: "e1", Value: []byte("{}")}}, Claims: []PartitionClaims{{Member: "a@b"}}},
		StoreView{Proven: true},
		StatusGet{}, Status{Session: "a.1", Slots: SlotEpochs{{Slot: 2, Epoch: 3}}, Peers: []PeerAge{{Session: "b.1", Age: 2}}},
	}
}

func sampleHeartbeat(slots, pools int) Heartbeat {
	h := Heartbeat{Round: 170_000, ManifestVersion: 4100}
	for i := range slots {
		h.Slots = append(h.Slots, SlotEpoch{Slot: id.Slot(i), Epoch: id.Epoch(40 + i)})
	}
	for i := range pools {
		h.Running = append(h.Running, PoolCount{Pool: fmt.Sprintf("model-%02d", i), Calls: 17})
	}
	return h
}

func sampleAck(peers int) HeartbeatAck {
	a := HeartbeatAck{Round: 170_000, Uptime: 24 * time.Hour}
	for i := range peers {
		session := id.Session(fmt.Sprintf("instance-%02d.5f3a9c21", i))
		a.Heard = append(a.Heard, Heard{Peer: SessionHash(session), AgeMS: 230})
	}
	return a
}

// Guards against a kind without a decoder, two message types with the same kind, and fields that are lost in encoding
// or decoding.
func TestEveryKindRoundTrips(t *testing.T) {
	seen := make(map[Kind]bool)
	for i, m := range samples() {
		want := Envelope{Exchange: uint64(i) << 20, Flags: FlagReply | FlagLast, Message: m}
		data, err := Encode(want)
		must.NoError(t, err)
		f, err := ReadFrame(bytes.NewReader(data), MaxFrameBytes)
		must.NoError(t, err)
		must.Eq(t, len(data), f.Size())
		got, err := Decode(f)
		must.NoError(t, err)
		must.Eq(t, want, got)
		must.StrNotEqFold(t, "", f.Kind.String())
		seen[f.Kind] = true
	}
	for k := Kind(1); k < kindEnd; k++ {
		must.True(t, seen[k], must.Sprintf("no sample of kind %s", k))
	}
}

// Guards against sending a message above the frame limit, for which the peer would close the connection.
func TestEncodeRefusesOversizedMessage(t *testing.T) {
	_, err := Encode(Envelope{Message: Manifest{JSON: make([]byte, MaxFrameBytes)}})
	must.ErrorIs(t, err, ErrTooLarge)
}

// Guards against a truncated frame that is reported as a normal end of the stream, and against wrong error types.
func TestReadFrameErrors(t *testing.T) {
	data, err := Encode(Envelope{Message: sampleHeartbeat(3, 3)})
	must.NoError(t, err)
	_, err = ReadFrame(bytes.NewReader(nil), MaxFrameBytes)
	must.Eq(t, io.EOF, err)
	for n := 1; n < len(data); n++ {
		_, err := ReadFrame(bytes.NewReader(data[:n]), MaxFrameBytes)
		must.ErrorIs(t, err, ErrTruncated)
	}
	_, err = ReadFrame(bytes.NewReader(data), 10)
	must.ErrorIs(t, err, ErrTooLarge)
	var version *UnknownVersionError
	_, err = ReadFrame(bytes.NewReader([]byte{0, 0, 0, 2, 7, 1}), MaxFrameBytes)
	must.True(t, errors.As(err, &version))
	must.Eq(t, 7, version.Version)
	var kind *UnknownKindError
	_, err = ReadFrame(bytes.NewReader([]byte{0, 0, 0, 2, 1, 0}), MaxFrameBytes)
	must.True(t, errors.As(err, &kind))
}

// Guards against data after a message, which an older binary would silently ignore.
func TestDecodeRefusesTrailingBytes(t *testing.T) {
	data, err := Encode(Envelope{Message: Ping{}})
	must.NoError(t, err)
	_, err = Decode(Frame{Kind: KindPing, Body: append(data[6:], 0xc0)})
	must.ErrorIs(t, err, ErrMalformed)
}

func FuzzReadFrame(f *testing.F) {
	for _, m := range samples() {
		data, err := Encode(Envelope{Exchange: 1, Flags: FlagRequest, Message: m})
		must.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 1})
	f.Add([]byte{0, 0, 0, 1, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		got, err := ReadFrame(r, MaxFrameBytes)
		if err != nil {
			return
		}
		if used := len(data) - r.Len(); used != got.Size() {
			t.Fatalf("frame of %d bytes used %d bytes", got.Size(), used)
		}
	})
}

// The decoder must not panic or exhaust the stack, and a message that it accepts must not change when encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		data, err := Encode(Envelope{Exchange: 1, Flags: FlagRequest, Message: m})
		must.NoError(f, err)
		f.Add(data[5], data[6:])
	}
	f.Add(uint8(KindPing), bytes.Repeat([]byte{0x91}, 1000))
	f.Add(uint8(KindCopies), []byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		first, err := Decode(Frame{Kind: Kind(kind), Body: body})
		if err != nil {
			var unknown *UnknownKindError
			if !errors.Is(err, ErrMalformed) && !errors.As(err, &unknown) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		data, err := Encode(first)
		must.NoError(t, err)
		second, err := Decode(Frame{Kind: Kind(kind), Body: data[6:]})
		must.NoError(t, err)
		again, err := Encode(second)
		must.NoError(t, err)
		must.Eq(t, data, again)
	})
}

// The depth check must only accept bodies that the msgpack decoder reads as exactly one value.
func FuzzDepthAgreesWithMsgpack(f *testing.F) {
	for _, m := range samples() {
		data, err := Encode(Envelope{Message: m})
		must.NoError(f, err)
		f.Add(data[6:])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) > 4<<10 {
			return
		}
		r := bytes.NewReader(body)
		skipErr := msgpack.NewDecoder(r).Skip()
		depthErr := checkDepth(body)
		if depthErr == nil && (skipErr != nil || r.Len() != 0) {
			t.Fatalf("accepted %x: skip error %v, %d bytes left", body, skipErr, r.Len())
		}
	})
}

// BenchmarkHeartbeatBytes reports the frame bytes that one instance sends per second if it sends every
// peer a heartbeat each 500 ms and acknowledges each heartbeat of every peer.
func BenchmarkHeartbeatBytes(b *testing.B) {
	for _, n := range []struct{ peers, slots, pools int }{
		{8, 8, 1}, {12, 5, 1}, {12, 5, 4}, {12, 64, 4}, {9, 7, 1}, {9, 7, 39}, {409, 1, 1},
	} {
		b.Run(fmt.Sprintf("peers=%d/slots=%d/pools=%d", n.peers, n.slots, n.pools), func(b *testing.B) {
			var heartbeat, ack []byte
			for b.Loop() {
				heartbeat, _ = Encode(Envelope{Message: sampleHeartbeat(n.slots, n.pools)})
				ack, _ = Encode(Envelope{Message: sampleAck(n.peers)})
			}
			b.ReportMetric(float64(len(heartbeat)), "bytes/heartbeat")
			b.ReportMetric(float64(len(ack)), "bytes/ack")
			b.ReportMetric(float64(2*n.peers*(len(heartbeat)+len(ack))), "bytes/s")
		})
	}
}

// BenchmarkCallBytes reports the frame bytes of the messages between an owner and a dispatcher for one
// call that is granted immediately.
func BenchmarkCallBytes(b *testing.B) {
	attempt := id.NewAttempt(id.Call{Program: id.NewProgram(5, "6f2c9d1e8a"), Branch: "main", Seq: 42}, 17, 1)
	request := sched.Request{
		ID: attempt, Owner: "instance-07.5f3a9c21", Program: "p05-6f2c9d1e8a", Branch: "main", Team: "promoters",
		Duty: "promoter-answers", Zone: "norte", PromptTokens: 21_000, SharedTokens: 20_000, MaxTokens: 2048,
		LastEndpoint: "cistern-3", Attained: time.Minute, Calls: 41, ProgramAge: time.Hour, CallTimeLimit: time.Minute,
	}
	done := sched.Done{
		ID: attempt, Endpoint: "cistern-3", Result: sched.ResultOK, PromptTokens: 21_000, CachedTokens: 20_000,
		OutputTokens: 500, FirstToken: 400 * time.Millisecond, Total: 15 * time.Second,
	}
	total := 0
	for b.Loop() {
		total = 0
		for _, m := range []Message{
			Submit{Pool: "cistern-14b", Request: request},
			Grant{Pool: "cistern-14b", ID: attempt, Endpoint: "cistern-3", Reason: "warm_prefix", Waited: time.Millisecond},
			Done{Pool: "cistern-14b", Done: done},
		} {
			data, _ := Encode(Envelope{Message: m})
			total += len(data)
		}
	}
	b.ReportMetric(float64(total), "bytes/call")
}
