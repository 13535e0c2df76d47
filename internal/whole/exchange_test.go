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

// sink is where the answers to a request of the owner core go.
type sink struct {
	local    *request
	from     id.Session // front, if it is another instance
	exchange uint64
}

// fetch collects the copies of a slot.
type fetch struct {
	slot     id.Slot
	epoch    id.Epoch
	answered map[id.Session]bool
	found    []wire.Copy
	asked    time.Duration
}

type exchanges struct {
	nextReq  program.ReqID
	sinks    map[program.ReqID]*sink
	forwards map[uint64]*forward
	fetches  []*fetch
	lastSent map[uint64]time.Duration // of the chunks of an exchange, which keep their order
	broken   map[uint64]bool
}

// forward is a request of this front at its owner.
type forward struct {
	to       id.Session
	req      *request
	answered bool // the last chunk is on its way here; a front that is paused takes it when it resumes
}

func newExchanges() exchanges {
	return exchanges{sinks: map[program.ReqID]*sink{}, forwards: map[uint64]*forward{}, lastSent: map[uint64]time.Duration{}, broken: map[uint64]bool{}}
}

// frame passes a message through the codec.
func (n *node) frame(e wire.Envelope) wire.Envelope {
	data, err := wire.Encode(e)
	if err != nil {
		n.w.fail("encode %s: %v", e.Message.Kind(), err)
	}
	f, err := wire.ReadFrame(bytes.NewReader(data), wire.MaxFrameBytes)
	if err != nil {
		n.w.fail("read frame: %v", err)
	}
	out, err := wire.Decode(f)
	if err != nil {
		n.w.fail("decode %s: %v", e.Message.Kind(), err)
	}
	return out
}

// send sends a one-way message. It may be lost, late, doubled or overtaken.
func (n *node) send(to id.Session, m wire.Message) {
	if n.w.rng.Float64() < n.w.loss {
		return
	}
	copies := 1
	if n.w.loss > 0 && n.w.rng.IntN(15) == 0 {
		copies = 2
	}
	m = n.frame(wire.Envelope{Message: m}).Message
	for range copies {
		n.w.after(n.w.delay(), func() {
			if other := n.w.node(to); other != nil {
				n.w.to(other, 0, func() { other.receive(n.session, m) })
			}
		})
	}
}

func (n *node) receive(from id.Session, m wire.Message) {
	switch m := m.(type) {
	case wire.Heartbeat:
		n.members.Step(n.now(), membership.HeartbeatReceived{From: from, Zone: "z", Heartbeat: m})
		n.send(from, n.members.Ack(n.now(), m.Round))
		if m.ManifestVersion > n.version {
			n.call(from, wire.ManifestGet{Min: m.ManifestVersion}, func(m wire.Message) {
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
		n.fromOwner(from, m.Pool, sched.Submit{Request: m.Request})
	case wire.Withdraw:
		n.fromOwner(from, m.Pool, sched.Withdraw{ID: m.ID})
	case wire.Done:
		n.fromOwner(from, m.Pool, m.Done)
	case wire.Running:
		n.running(from, m)
	case wire.ProgramPaused:
		n.fromOwner(from, m.Pool, m.Paused)
	case wire.ProgramEnded:
		n.fromOwner(from, m.Pool, m.Ended)
	case wire.Grant:
		n.granted(from, m)
	case wire.Refuse:
		n.refused(from, m)
	default:
		n.w.fail("unexpected message %s", m.Kind())
	}
}

// call makes an exchange with one reply. Both directions may be lost; the caller then repeats.
func (n *node) call(to id.Session, m wire.Message, reply func(wire.Message)) {
	number := n.w.exchangeID()
	if n.w.rng.Float64() < n.w.loss {
		return
	}
	m = n.frame(wire.Envelope{Exchange: number, Flags: wire.FlagRequest, Message: m}).Message
	n.w.after(n.w.delay(), func() {
		other := n.w.node(to)
		if other == nil {
			return
		}
		n.w.to(other, 0, func() {
			e := other.frame(wire.Envelope{Exchange: number, Flags: wire.FlagReply | wire.FlagLast, Message: other.serve(m)})
			if n.w.rng.Float64() >= n.w.loss {
				n.w.to(n, n.w.delay(), func() { reply(e.Message) })
			}
		})
	})
}

func (n *node) serve(m wire.Message) wire.Message {
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

// putCopies stores records at two peers, or at one if only one is alive.
func (n *node) putCopies(a program.PutCopies) {
	data, err := record.Encode(record.Batch{Session: n.session, Seq: a.Ref, At: n.w.wall(), Records: a.Records})
	if err != nil {
		n.w.fail("encode copies: %v", err)
	}
	if n.copyAcks[a.Ref] == nil {
		n.copyAcks[a.Ref] = map[id.Session]bool{}
	}
	m := wire.CopyPut{Copy: wire.Copy{Slot: a.Slot, Epoch: a.Epoch, Session: n.session, Ref: a.Ref, Batch: data}}
	for _, to := range n.members.CopyPeers(n.now(), 2) {
		n.call(to, m, func(wire.Message) {
			n.copyAcks[a.Ref][to] = true
			acks := len(n.copyAcks[a.Ref])
			if acks >= 2 || acks >= len(n.members.CopyPeers(n.now(), 2)) {
				n.step(program.CopiesStored{Ref: a.Ref})
			}
		})
	}
}

// exchangeTick asks again for copies that are missing. A peer that stays silent leaves the live ones.
func (n *node) exchangeTick() {
	var open []*fetch
	for _, f := range n.exchange.fetches {
		missing := 0
		for _, to := range n.members.Live(n.now()) {
			if to == n.session || f.answered[to] {
				continue
			}
			missing++
			if n.now()-f.asked >= 300*time.Millisecond {
				n.call(to, wire.CopyGet{Slot: f.slot, Epoch: f.epoch}, func(m wire.Message) {
					f.answered[to] = true
					f.found = append(f.found, m.(wire.Copies).Copies...)
				})
			}
		}
		if n.now()-f.asked >= 300*time.Millisecond {
			f.asked = n.now()
		}
		if missing > 0 {
			open = append(open, f)
			continue
		}
		n.fetched(f)
	}
	n.exchange.fetches = open
}

func (n *node) fetched(f *fetch) {
	var records []record.Record
	for _, c := range append(n.copiesOf(f.slot, f.epoch), f.found...) {
		b, err := record.Decode(c.Batch)
		if err != nil {
			n.w.fail("decode copies: %v", err)
		}
		records = append(records, b.Records...)
	}
	n.step(program.CopiesFetched{Slot: f.slot, Records: records})
}
