package fsm

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// TombstoneAge is how long an ended program is kept, in record time, so that repeated keys get the
// recorded answer.
const TombstoneAge = 10 * time.Minute

// Program is the agreed state of one program. Slices of messages and bodies are shared between
// copies and never written in place.
type Program struct {
	ID             id.Program          `msgpack:"p"`
	Team           string              `msgpack:"t"`
	Duty           string              `msgpack:"d"`
	Key            string              `msgpack:"k"`
	Limits         record.Limits       `msgpack:"l"`
	Mark           record.Spend        `msgpack:"hw"`
	Spent          record.Spend        `msgpack:"u"`
	Lost           record.Spend        `msgpack:"lo"` // part of Mark that counts as spent after take-overs
	OpenedAt       time.Time           `msgpack:"at"`
	Deadline       time.Time           `msgpack:"dl"`
	Branches       map[string]*Branch  `msgpack:"b"`
	Outcomes       map[string]*Outcome `msgpack:"o"`  // by idempotency key
	CacheEndpoints []string            `msgpack:"es"` // endpoints that may hold cache, sorted
	Cause          record.EndCause     `msgpack:"ca"` // 0 while the program is open
	EndedAt        time.Time           `msgpack:"ea"` // record time
	Rev            uint64              `msgpack:"rv"` // valid records applied

	base   Position  // of the Open or the latest Snapshot
	baseAt time.Time // record time of base
}

// Branch is the agreed state of one line of calls.
type Branch struct {
	Name           string           `msgpack:"b"`
	Parent         string           `msgpack:"pb"`
	Key            string           `msgpack:"k"`
	LastSeq        uint64           `msgpack:"s"` // sequence number of the last recorded call
	History        []record.Message `msgpack:"h"`
	Digest         uint64           `msgpack:"dg"` // running digest of History
	Intent         *Intent          `msgpack:"i"`  // open intent
	UnknownOutcome string           `msgpack:"uk"` // key of the unknown outcome that blocks the branch

	LastEndpoint string `msgpack:"le"` // of the last turn
	LastTokens   int64  `msgpack:"lt"` // prompt and answer of the last turn
}

// Intent is a non-idempotent call that may have been dispatched.
type Intent struct {
	Call      id.Call      `msgpack:"c"`
	Key       string       `msgpack:"k"`
	Digest    uint64       `msgpack:"dg"`
	Service   string       `msgpack:"sv"`
	Operation string       `msgpack:"op"`
	Cost      record.Spend `msgpack:"u"`
	Epoch     id.Epoch     `msgpack:"ep"`
	Attempt   int          `msgpack:"n"`
}

// ID returns the ID of the one attempt that the intent announced.
func (i *Intent) ID() id.Attempt { return id.NewAttempt(i.Call, i.Epoch, i.Attempt) }

// Outcome is the recorded result of a call.
type Outcome struct {
	Call     id.Call         `msgpack:"c"`
	Digest   uint64          `msgpack:"dg"`
	Executed record.Executed `msgpack:"x"`
	Status   int             `msgpack:"hs"`
	Body     []byte          `msgpack:"bd"`
	Stream   bool            `msgpack:"st"`
	Used     record.Spend    `msgpack:"u"`
	Intent   *Intent         `msgpack:"i"` // set for an unknown outcome
}

// Ended tells whether the program was closed.
func (p *Program) Ended() bool { return p.Cause != 0 }

// unused tells whether the program was ended because its opening was refused or it was never used.
// Its key may open another program: the refusal said that nothing was run.
func (p *Program) unused() bool {
	main := p.Branches[id.MainBranch]
	return p.Cause == record.EndExpired && len(p.Outcomes) == 0 && len(p.Branches) == 1 && main != nil && main.LastSeq == 0
}

// Counted is what counts against the limits: recorded spending and what take-overs lost.
func (p *Program) Counted() record.Spend { return p.Spent.Add(p.Lost) }

// Base returns the place and record time of the oldest record that the state depends on.
func (p *Program) Base() (Position, time.Time) { return p.base, p.baseAt }

// Clone returns a copy that can be changed without effect on the original.
func (p *Program) Clone() *Program {
	c := *p
	c.Branches = make(map[string]*Branch, len(p.Branches))
	for name, b := range p.Branches {
		nb := *b
		nb.History = slices.Clip(b.History)
		c.Branches[name] = &nb
	}
	c.Outcomes = maps.Clone(p.Outcomes)
	c.CacheEndpoints = slices.Clone(p.CacheEndpoints)
	return &c
}

// addHolding notes that an endpoint may hold cache of the program.
func (p *Program) addHolding(endpoint string) {
	if endpoint == "" {
		return
	}
	if i, found := slices.BinarySearch(p.CacheEndpoints, endpoint); !found {
		p.CacheEndpoints = slices.Insert(p.CacheEndpoints, i, endpoint)
	}
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// DigestMessages continues the running digest of a history (0: empty) with further messages. The
// length of each message is part of the digest, so that messages cannot be merged or split.
func DigestMessages(digest uint64, messages ...record.Message) uint64 {
	h := digest
	if h == 0 {
		h = fnvOffset
	}
	var n [8]byte
	for _, m := range messages {
		binary.LittleEndian.PutUint64(n[:], uint64(len(m.Raw)))
		for _, b := range n {
			h = (h ^ uint64(b)) * fnvPrime
		}
		for _, b := range m.Raw {
			h = (h ^ uint64(b)) * fnvPrime
		}
	}
	return h
}
