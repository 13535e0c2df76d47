package whole

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/membership"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/wire"
)

type copyKey struct {
	slot    id.Slot
	session id.Session
	ref     uint64
}

// replyTarget is the destination of the owner core's replies to one request: a caller of this node, or an
// exchange with the instance that forwarded the request.
type replyTarget struct {
	request  *request
	from     id.Session // the instance that forwarded the request, if request is nil
	exchange uint64
}

// copyFetch collects the copies of a slot's records, the in-memory replicas that peers keep while the log is
// down, for a takeover of the slot.
type copyFetch struct {
	slot     id.Slot
	epoch    id.Epoch
	answered map[id.Session]bool
	found    []wire.Copy
	askedAt  time.Duration
}

type exchangeState struct {
	nextReq      program.ReqID
	replyTargets map[program.ReqID]*replyTarget
	forwards     map[uint64]*forward
	copyFetches  []*copyFetch
	lastArrival  map[uint64]time.Duration // by exchange; the chunks of one exchange arrive in order
	broken       map[uint64]bool          // exchanges whose connection to the front has broken
}

// forward is a request that this node accepted from a caller and forwarded to the owner of its slot.
type forward struct {
	to       id.Session
	req      *request
	answered bool // the owner has sent the last chunk; a paused node handles it when it resumes
}

func newExchangeState() exchangeState {
	return exchangeState{
		replyTargets: map[program.ReqID]*replyTarget{}, forwards: map[uint64]*forward{},
		lastArrival: map[uint64]time.Duration{}, broken: map[uint64]bool{},
	}
}

// encodeDecode returns the message as it is after encoding, framing and decoding.
func (n *node) encodeDecode(e wire.Envelope) wire.Envelope {
	data, err := wire.Encode(e)
	if err != nil {
		n.sim.fail("encode %s: %v", e.Message.Kind(), err)
	}
	f, err := wire.ReadFrame(bytes.NewReader(data), wire.MaxFrameBytes)
	if err != nil {
		n.sim.fail("read frame: %v", err)
	}
	out, err := wire.Decode(f)
	if err != nil {
		n.sim.fail("decode %s: %v", e.Message.Kind(), err)
	}
	return out
}

// send sends a one-way message. It may be lost, delayed, duplicated or reordered.
func (n *node) send(to id.Session, m wire.Message) {
	if n.sim.rng.Float64() < n.sim.loss {
		return
	}
	copies := 1
	if n.sim.loss > 0 && n.sim.rng.IntN(15) == 0 {
		copies = 2
	}
	m = n.encodeDecode(wire.Envelope{Message: m}).Message
	for range copies {
		n.sim.after(n.sim.delay(), func() {
			if other := n.sim.node(to); other != nil {
				n.sim.deliver(other, 0, func() { other.receive(n.session, m) })
			}
		})
	}
}

func (n *node) receive(from id.Session, m wire.Message) {
	switch m := m.(type) {
	case wire.Heartbeat:
		n.members.Step(n.now(), membership.HeartbeatReceived{From: from, Zone: "z", Heartbeat: m})
		n.send(from, n.members.Ack(n.now(), m.Round))
		if m.ManifestVersion > n.manifestVersion {
			n.request(from, wire.ManifestGet{Min: m.ManifestVersion}, func(m wire.Message) {
				got := m.(wire.Manifest)
				n.configs.Adopt(fsm.Manifest{Version: got.Version, Digest: got.Digest})
				n.useManifest()
			})
		}
		n.configure()
	case wire.HeartbeatAck:
		n.members.Step(n.now(), membership.HeartbeatAcked{From: from, Ack: m})
		n.renewLease()
	case wire.Submit:
		n.handleOwnerMessage(from, m.Pool, sched.Submit{Request: m.Request})
	case wire.Withdraw:
		n.handleOwnerMessage(from, m.Pool, sched.Withdraw{ID: m.ID})
	case wire.Done:
		n.handleOwnerMessage(from, m.Pool, m.Done)
	case wire.Running:
		n.reconcileGrants(from, m)
	case wire.ProgramPaused:
		n.handleOwnerMessage(from, m.Pool, m.Paused)
	case wire.ProgramEnded:
		n.handleOwnerMessage(from, m.Pool, m.Ended)
	case wire.Grant:
		n.granted(from, m)
	case wire.Refuse:
		n.refused(from, m)
	default:
		n.sim.fail("unexpected message %s", m.Kind())
	}
}

// request sends m and calls reply with the answer. Either message may be lost; reply is then never called, and
// whoever needs the answer sends the request again.
func (n *node) request(to id.Session, m wire.Message, reply func(wire.Message)) {
	number := n.sim.exchangeID()
	if n.sim.rng.Float64() < n.sim.loss {
		return
	}
	m = n.encodeDecode(wire.Envelope{Exchange: number, Flags: wire.FlagRequest, Message: m}).Message
	n.sim.after(n.sim.delay(), func() {
		other := n.sim.node(to)
		if other == nil {
			return
		}
		n.sim.deliver(other, 0, func() {
			e := other.encodeDecode(wire.Envelope{Exchange: number, Flags: wire.FlagReply | wire.FlagLast,
				Message: other.replyTo(m)})
			if n.sim.rng.Float64() >= n.sim.loss {
				n.sim.deliver(n, n.sim.delay(), func() { reply(e.Message) })
			}
		})
	})
}

func (n *node) replyTo(m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.ManifestGet:
		if c := n.configs.Current(); c.Version >= m.Min {
			return wire.Manifest{Version: c.Version, Digest: c.Digest}
		}
		return wire.Manifest{}
	case wire.CopyPut:
		n.copies[copyKey{m.Copy.Slot, m.Copy.Session, m.Copy.Ref}] = m.Copy
	case wire.CopyGet:
		return wire.Copies{Copies: n.copiesOf(m.Slot, m.Epoch)}
	case wire.CopyDrop:
		n.dropCopies(m)
	}
	return wire.Ack{}
}

func (n *node) dropCopies(m wire.CopyDrop) {
	for key, c := range n.copies {
		if key.slot == m.Slot && (c.Epoch < m.Below || key.session == m.Session && slices.Contains(m.Refs, key.ref)) {
			delete(n.copies, key)
		}
	}
}

func (n *node) copiesOf(s id.Slot, upTo id.Epoch) []wire.Copy {
	var out []wire.Copy
	for _, c := range n.copies {
		if c.Slot == s && c.Epoch <= upTo {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b wire.Copy) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Session, b.Session), cmp.Compare(a.Ref, b.Ref))
	})
	return out
}

// putCopies stores copies of records at two peers, or at one if only one is live.
func (n *node) putCopies(a program.PutCopies) {
	data, err := record.Encode(record.Batch{Session: n.session, Seq: a.Ref, At: n.sim.wallTime(), Records: a.Records})
	if err != nil {
		n.sim.fail("encode copies: %v", err)
	}
	if n.copyAcks[a.Ref] == nil {
		n.copyAcks[a.Ref] = map[id.Session]bool{}
	}
	m := wire.CopyPut{Copy: wire.Copy{Slot: a.Slot, Epoch: a.Epoch, Session: n.session, Ref: a.Ref, Batch: data}}
	for _, to := range n.members.CopyPeers(n.now(), 2) {
		n.request(to, m, func(wire.Message) {
			n.copyAcks[a.Ref][to] = true
			acks := len(n.copyAcks[a.Ref])
			if acks >= 2 || acks >= len(n.members.CopyPeers(n.now(), 2)) {
				n.step(program.CopiesStored{Ref: a.Ref})
			}
		})
	}
}

// exchangeTick asks, every 300 ms, the live peers that have not answered yet for their copies. A fetch ends once
// all live peers have answered; a peer that does not answer because it is dead soon stops counting as live.
func (n *node) exchangeTick() {
	var unfinished []*copyFetch
	for _, f := range n.exchange.copyFetches {
		missing := 0
		for _, to := range n.members.Live(n.now()) {
			if to == n.session || f.answered[to] {
				continue
			}
			missing++
			if n.now()-f.askedAt >= 300*time.Millisecond {
				n.request(to, wire.CopyGet{Slot: f.slot, Epoch: f.epoch}, func(m wire.Message) {
					f.answered[to] = true
					f.found = append(f.found, m.(wire.Copies).Copies...)
				})
			}
		}
		if n.now()-f.askedAt >= 300*time.Millisecond {
			f.askedAt = n.now()
		}
		if missing > 0 {
			unfinished = append(unfinished, f)
			continue
		}
		n.copiesFetched(f)
	}
	n.exchange.copyFetches = unfinished
}

func (n *node) copiesFetched(f *copyFetch) {
	var records []record.Record
	for _, c := range append(n.copiesOf(f.slot, f.epoch), f.found...) {
		b, err := record.Decode(c.Batch)
		if err != nil {
			n.sim.fail("decode copies: %v", err)
		}
		records = append(records, b.Records...)
	}
	n.step(program.CopiesFetched{Slot: f.slot, Records: records})
}
