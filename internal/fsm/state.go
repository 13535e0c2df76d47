package fsm

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// TombstoneAge is how long an ended program is kept, in record time, so that a request that repeats
// an idempotency key gets the recorded answer.
const TombstoneAge = 10 * time.Minute

// Program is the replicated state of one program. Slices of messages and bodies are shared between
// clones and never written in place.
type Program struct {
	ID             id.Program          `msgpack:"p"`
	Team           string              `msgpack:"t"`
	Duty           string              `msgpack:"d"`
	Key            string              `msgpack:"k"`
	Limits         record.Limits       `msgpack:"l"`
	HighWater      record.Spend        `msgpack:"hw"` // spending that the holder may reach without a further record
	Spent          record.Spend        `msgpack:"u"`  // recorded spending
	AssumedSpent   record.Spend        `msgpack:"lo"` // part of HighWater that counts as spent after takeovers
	OpenedAt       time.Time           `msgpack:"at"`
	Deadline       time.Time           `msgpack:"dl"`
	Branches       map[string]*Branch  `msgpack:"b"`
	Outcomes       map[string]*Outcome `msgpack:"o"`  // by idempotency key
	CacheEndpoints []string            `msgpack:"es"` // endpoints that may hold cache of the program, sorted
	EndCause       record.EndCause     `msgpack:"ca"` // 0 while the program is open
	EndedAt        time.Time           `msgpack:"ea"` // record time
	Rev            uint64              `msgpack:"rv"` // number of valid records applied

	base   Position  // of the Open record or the latest Snapshot
	baseAt time.Time // record time of base
}

// Branch is the replicated state of one sequence of calls of a program.
type Branch struct {
	Name           string           `msgpack:"b"`
	Parent         string           `msgpack:"pb"`
	Key            string           `msgpack:"k"`
	LastSeq        uint64           `msgpack:"s"` // sequence number of the last recorded call
	History        []record.Message `msgpack:"h"`
	Digest         uint64           `msgpack:"dg"` // running digest of History
	Intent         *Intent          `msgpack:"i"`  // nil unless a call is announced and has no outcome
	UnknownOutcome string           `msgpack:"uk"` // idempotency key of the unknown outcome that blocks the branch

	LastEndpoint string `msgpack:"le"` // of the last turn
	LastTokens   int64  `msgpack:"lt"` // tokens of prompt and answer of the last turn
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

// ID returns the ID of the only attempt that the intent announces.
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
	Intent   *Intent         `msgpack:"i"` // set only for an unknown outcome
}

// Ended reports whether the program has ended.
func (p *Program) Ended() bool { return p.EndCause != 0 }

// neverUsed reports whether the program ended because its opening was refused or because it was never
// used. Its idempotency key may then open another program, because the refusal told the caller that
// nothing was run.
func (p *Program) neverUsed() bool {
	main := p.Branches[id.MainBranch]
	return p.EndCause == record.EndExpired && len(p.Outcomes) == 0 && len(p.Branches) == 1 && main != nil && main.LastSeq == 0
}

// Counted returns what counts against the limits: the recorded spending and AssumedSpent.
func (p *Program) Counted() record.Spend { return p.Spent.Add(p.AssumedSpent) }

// Base returns the position and record time of the oldest record that the state depends on.
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

// addCacheEndpoint records that an endpoint may hold cache of the program.
func (p *Program) addCacheEndpoint(endpoint string) {
	if endpoint == "" {
		return
	}
	if i, found := slices.BinarySearch(p.CacheEndpoints, endpoint); !found {
		p.CacheEndpoints = slices.Insert(p.CacheEndpoints, i, endpoint)
	}
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// DigestMessages extends the running digest of a history (0: empty) by further messages. The length
// of each message is part of the digest, so that two histories that split the same bytes into messages
// differently have different digests.
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
