// Package history holds the turns of programs, and the tokens that programs have spent, for one partition
// of the history topic. It does no I/O: the holder of the partition calls State to decide, writes the
// Records that State returns, and answers callers once those are in the store.
//
// State guarantees:
//   - A turn that was answered completely can be found, with its chain of previous turns, until its
//     retention is over.
//   - The tokens that a program receives never exceed its budget. Before an attempt runs, the most tokens
//     that it may generate are reserved; what it does not use is released when it ends. An attempt whose
//     end is unknown counts with its whole reservation.
//   - While the store accepts records, the tokens that a program receives never exceed a ceiling that is in
//     the store. The record of the end of each turn raises the ceiling far enough for the next turns, so that
//     most turns need no record before they run and programs go on in an outage of the store. A new holder of
//     the partition counts all tokens up to the ceiling as spent, because it cannot know which attempts ran.
//   - At any time, a program has got at most about the tokens of one turn above the ceiling in the store, because
//     that is what is forgotten if all instances lose their memory (see Cover).
package history

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// retentionSlack is added to the retention of turns to allow for clock skew between instances.
const retentionSlack = 10 * time.Second

// How far the ceiling in the store is ahead of what a program has used. The distance counts as spent after a loss of
// the holder, so it is never more than a part of what is left of the budget.
const (
	// maxTurnsAhead bounds the distance, in turns of maximum length. Most turns are far shorter, so that a program
	// that runs one turn after another gets through an outage of several seconds.
	maxTurnsAhead = 3
	// aheadDivisor divides what is left of the budget. A program of usual length uses a third of its budget and can
	// thus end after several losses of the holder, each of which adds a distance.
	aheadDivisor = 3
)

// Begin is a request to run an attempt of a turn.
type Begin struct {
	Program        string        `msgpack:"p"`
	Turn           string        `msgpack:"id"`
	Previous       string        `msgpack:"pr"`
	MaxTokens      int64         `msgpack:"n"`
	ExpectedTokens int64         `msgpack:"ly"` // median of the tokens that the caller expects; 0: unknown
	Budget         int64         `msgpack:"b"`
	EnforceBudget  bool          `msgpack:"l"`  // whether Budget applies
	HasChain       bool          `msgpack:"kn"` // the requester already has the chain of Previous
	MaxDuration    time.Duration `msgpack:"tl"` // time after which the attempt has ended in any case
}

// End reports how an attempt ended.
type End struct {
	Program   string        `msgpack:"p"`
	Turn      string        `msgpack:"id"`
	Previous  string        `msgpack:"pr"`
	Complete  bool          `msgpack:"w"`   // the turn was generated to its end
	Input     []byte        `msgpack:"in"`  // complete turns only
	Output    []byte        `msgpack:"out"` // complete turns only
	Tokens    int64         `msgpack:"n"`   // tokens sent to the caller
	Reserved  int64         `msgpack:"m"`   // tokens that were reserved for the attempt; 0 if that was not confirmed
	Retention time.Duration `msgpack:"kp"`  // retention of the turn
	// Confirmed means that a holder has confirmed the reservation, so that the ceiling in the store includes it. Instances of
	// earlier versions never set it, and reported reservations that were not confirmed as well.
	Confirmed bool `msgpack:"cf,omitempty"`
}

// Outcome is the answer to a Begin.
type Outcome uint8

// Outcomes of a Begin.
const (
	// Granted allows the attempt as soon as its record, if there is one, is in the store.
	Granted Outcome = iota + 1
	// UnknownTurn means that this partition does not have the previous turn.
	UnknownTurn
	// OverBudget means that the attempt exceeds the budget even if all running attempts release their
	// reservations.
	OverBudget
	// MustWait means that the attempt may fit into the budget once running attempts release what they do
	// not use.
	MustWait
)

type turn struct {
	offset   int64 // of its record in the partition; noOffset until that is stored
	previous string
	input    []byte
	output   []byte
	written  time.Time // when its newest record was written
	expires  time.Time
}

// noOffset is the offset of a record that is not stored yet.
const noOffset = math.MaxInt64

// reservation is the most tokens that a running attempt may generate.
type reservation struct {
	tokens   int64
	deadline time.Time // after this time all tokens count as spent
	covered  bool      // see Cover
}

// account tracks what a program has used of its budget, in tokens.
type account struct {
	spent          int64
	budget         int64                  // of the newest attempt; 0 while unknown
	ceiling        int64                  // total that may be spent without another record
	storedCeiling  int64                  // ceiling that a new holder would read from the store
	maxReservation int64                  // largest reservation of an attempt
	unaccounted    int64                  // granted by earlier holders, and possibly spent
	inherited      int64                  // ceiling of earlier holders that unaccounted includes
	reserved       map[string]reservation // running attempts
	ended          map[string]bool        // attempts whose end is included in spent
	written        time.Time              // when its newest record was written
	lastUsed       time.Time
}

// used returns the tokens that count against the budget, including all reservations.
func (a *account) used() int64 { return a.spent + a.unaccounted + a.reservedTokens() }

// raiseCeiling sets the ceiling for the next turns of the given maximum length.
func (a *account) raiseCeiling(turn int64) {
	used := a.used()
	ahead := min(max((a.budget-used)/aheadDivisor, turn), maxTurnsAhead*turn)
	a.ceiling = max(min(used+ahead, a.budget), used)
}

func (a *account) reservedTokens() int64 {
	var sum int64
	for _, r := range a.reserved {
		sum += r.tokens
	}
	return sum
}

// committed returns the tokens that may have been sent to callers, or may be at any moment.
func (a *account) committed() int64 {
	sum := a.spent + a.unaccounted
	for _, r := range a.reserved {
		if r.covered {
			sum += r.tokens
		}
	}
	return sum
}

// mayCommit reports whether the tokens of an attempt are covered besides all that are committed already.
func (a *account) mayCommit(b Begin) bool {
	need := b.MaxTokens
	if b.ExpectedTokens > 0 && 2*a.spent < b.Budget {
		need = min(need, b.ExpectedTokens)
	}
	return a.committed()+need <= a.storedCeiling+max(a.maxReservation, b.MaxTokens)
}

// State is the state of a partition, built from its records. It is not safe for concurrent use.
type State struct {
	turns        map[string]*turn
	accounts     map[string]*account
	epoch        int64         // of the newest claim
	recovered    bool          // the records of earlier holders have been loaded
	maxRetention time.Duration // longest retention so far
}

// NewState returns an empty State.
func NewState() *State {
	return &State{turns: make(map[string]*turn), accounts: make(map[string]*account)}
}

// Epoch returns the epoch of the newest claim.
func (s *State) Epoch() int64 { return s.epoch }

// Turns returns the number of turns held.
func (s *State) Turns() int { return len(s.turns) }

// HasTurn reports whether the partition has a turn.
func (s *State) HasTurn(id string) bool { return s.turns[id] != nil }

// Stored reports whether a turn is in the partition in the store.
func (s *State) Stored(id string) bool {
	t := s.turns[id]
	return t != nil && t.offset != noOffset
}

// Begin decides whether an attempt may run, and reserves its tokens if so. With Granted it returns the record
// that must be stored first, or nil if the ceiling already covers the attempt. A repeated Begin of a granted
// attempt is granted again and reserves nothing more.
func (s *State) Begin(b Begin, now time.Time) (Outcome, *Record) {
	if b.Previous != "" && s.turns[b.Previous] == nil {
		return UnknownTurn, nil
	}
	if !b.EnforceBudget || b.Program == "" {
		return Granted, nil
	}
	a := s.account(b.Program, now)
	s.expireReservations(a, now)
	if _, repeated := a.reserved[b.Turn]; repeated || a.ended[b.Turn] {
		return Granted, nil
	}
	switch {
	case a.spent+a.unaccounted+b.MaxTokens > b.Budget:
		return OverBudget, nil
	case a.used()+b.MaxTokens > b.Budget:
		return MustWait, nil
	}
	a.budget = b.Budget
	a.maxReservation = max(a.maxReservation, b.MaxTokens)
	a.reserved[b.Turn] = reservation{tokens: b.MaxTokens, deadline: now.Add(b.MaxDuration)}
	if a.used() <= a.ceiling {
		return Granted, nil
	}
	a.raiseCeiling(b.MaxTokens)
	a.written = now
	return Granted, &Record{
		Kind: RecordGrant, At: now.UnixMilli(), Program: b.Program, Spent: a.spent, Ceiling: a.ceiling,
	}
}

// Cover reports whether a granted attempt may be sent to an endpoint. What was granted above the ceiling in the store is
// forgotten if all instances lose their memory, whether the store is known to be away or not; the program can then spend again
// everything that it got above it. Losing the tokens of one turn in this way is acceptable, so what callers may have got
// exceeds the stored ceiling by at most the largest reservation. The attempt in question counts with the tokens that it is
// expected to use, or with its maximum once the program has spent half of its budget; those covered before it count with their
// reservations.
func (s *State) Cover(b Begin) bool {
	a := s.accounts[b.Program]
	if a == nil {
		return true
	}
	r, running := a.reserved[b.Turn]
	if !running || r.covered {
		return true
	}
	r.covered = a.mayCommit(b)
	a.reserved[b.Turn] = r
	return r.covered
}

// AllowedInOutage reports whether an attempt would be covered if it was granted now.
func (s *State) AllowedInOutage(b Begin) bool {
	if !b.EnforceBudget || b.Program == "" {
		return true
	}
	a := s.accounts[b.Program]
	if a == nil {
		a = &account{}
	}
	return a.reserved[b.Turn].covered || a.mayCommit(b)
}

// MarkStored records that a record is in the store, at an offset of the partition.
func (s *State) MarkStored(r Record, offset int64) {
	if t := s.turns[r.Turn]; t != nil && r.Kind == RecordTurn {
		t.offset = offset
	}
	if a := s.accounts[r.Program]; a != nil && r.Ceiling > 0 {
		a.storedCeiling = r.Ceiling
	}
}

// Begun reports whether a program has spent part of its budget.
func (s *State) Begun(program string) bool {
	a := s.accounts[program]
	return a != nil && (a.spent > 0 || a.unaccounted > 0)
}

// HasReservation reports whether this state granted an attempt that is still running.
func (s *State) HasReservation(program, turn string) bool {
	a := s.accounts[program]
	if a == nil {
		return false
	}
	_, ok := a.reserved[turn]
	return ok
}

// End applies the end of an attempt and returns the record to store. It returns false if the end was
// already applied.
func (s *State) End(e End, now time.Time) (Record, bool) {
	a := s.account(e.Program, now)
	if a.ended[e.Turn] && (!e.Complete || s.turns[e.Turn] != nil) {
		return Record{}, false
	}
	if _, running := a.reserved[e.Turn]; !running && !a.ended[e.Turn] && e.Confirmed {
		// An earlier holder granted the attempt, so its reservation is part of the unaccounted tokens. That of an attempt which
		// was refused is not: the tokens there are those of others.
		a.unaccounted -= min(a.unaccounted, e.Reserved)
	}
	r := Record{
		Kind: RecordEnd, At: now.UnixMilli(), Program: e.Program, Turn: e.Turn, Tokens: e.Tokens,
		Spent: a.spent,
	}
	if !a.ended[e.Turn] {
		r.Spent += e.Tokens
	}
	if e.Complete {
		r.Kind = RecordTurn
		r.Previous, r.Input, r.Output, r.RetentionMs = e.Previous, e.Input, e.Output, e.Retention.Milliseconds()
	}
	s.apply(r, now, 0)
	if a.budget > 0 {
		a.raiseCeiling(cmp.Or(e.Reserved, a.maxReservation))
		r.Ceiling = a.ceiling
	}
	return r, true
}

// Release lowers the ceilings to what is used or reserved, before another holder takes over. It returns the records
// to store. After it, this holder may permit nothing more: what is not reserved now counts as free for the next one.
func (s *State) Release(now time.Time) []Record {
	var records []Record
	for program, a := range s.accounts {
		if used := a.used(); a.ceiling > used {
			a.ceiling = used
			records = append(records, Record{
				Kind: RecordGrant, At: now.UnixMilli(), Program: program, Spent: a.spent, Ceiling: a.ceiling,
			})
		}
	}
	return records
}

// FinishRecovery must be called once the records of earlier holders have been loaded. Tokens that these holders
// granted and did not record as spent may have been sent to callers, so they count as used.
func (s *State) FinishRecovery() {
	s.recovered = true
	for _, a := range s.accounts {
		a.unaccounted, a.inherited = max(a.ceiling-a.spent, 0), a.ceiling
	}
}

// Load applies a record that was read from the store at an offset of the partition. now is the current time on the clock that deadlines
// use; wall is the current time of day, which gives the age of the record.
func (s *State) Load(r Record, offset int64, now, wall time.Time) {
	age := max(wall.Sub(time.UnixMilli(r.At)), 0)
	s.apply(r, now, age)
	s.MarkStored(r, offset)
}

// OldestOffset returns the offset of the oldest record with a turn that is kept. Turns are kept as long as their chain
// is continued, however old they are.
func (s *State) OldestOffset() int64 {
	oldest := int64(noOffset)
	for _, t := range s.turns {
		oldest = min(oldest, t.offset)
	}
	return oldest
}

// apply applies a record to the state. age is the time since the record was written.
func (s *State) apply(r Record, now time.Time, age time.Duration) {
	switch r.Kind {
	case RecordClaim:
		s.epoch = max(s.epoch, r.Epoch)
		return
	case RecordGrant:
		a := s.account(r.Program, now)
		a.spent = max(a.spent, r.Spent)
		a.ceiling = r.Ceiling
		a.written = now.Add(-age)
	case RecordTurn, RecordEnd:
		s.applyEnd(r, now, age)
	}
	// A turn that is older than its retention may be needed by a later one that continues it; Expire drops the others.
	if r.Kind == RecordTurn {
		s.turns[r.Turn] = &turn{offset: noOffset, previous: r.Previous, input: r.Input, output: r.Output, written: now.Add(-age)}
		s.maxRetention = max(s.maxRetention, r.retention())
		s.extendRetention(r.Turn, now.Add(r.retention()+retentionSlack-age))
	}
}

// applyEnd applies a record of the end of an attempt to the account of its program.
func (s *State) applyEnd(r Record, now time.Time, age time.Duration) {
	if r.Program == "" {
		return
	}
	a := s.account(r.Program, now)
	delete(a.reserved, r.Turn)
	a.ended[r.Turn] = true
	a.spent = max(a.spent, r.Spent)
	a.written = now.Add(-age)
	if r.Ceiling > 0 {
		a.ceiling = r.Ceiling
	}
}

// LoadCopy applies a record that was recovered from the in-memory replicas of peers, and returns the record to store.
// Copies arrive in any order, and also after the recovery, so a ceiling takes effect only if it is the highest.
func (s *State) LoadCopy(r Record, now time.Time) Record {
	var before account
	if a := s.accounts[r.Program]; a != nil {
		before = *a
	}
	s.apply(r, now, 0)
	a := s.accounts[r.Program]
	if a == nil || r.Ceiling == 0 {
		return r
	}
	if s.recovered && r.Ceiling > before.inherited {
		a.unaccounted += max(r.Ceiling-before.inherited-(a.spent-before.spent), 0)
		a.inherited = r.Ceiling
	}
	a.ceiling = max(r.Ceiling, before.ceiling, a.used())
	r.Spent, r.Ceiling = a.spent, a.ceiling
	return r
}

// extendRetention keeps a turn and its chain until the given time or longer.
func (s *State) extendRetention(id string, until time.Time) {
	for t := s.turns[id]; t != nil && t.expires.Before(until); t = s.turns[t.previous] {
		t.expires = until
	}
}

// account returns the account of a program, which it creates if necessary.
func (s *State) account(program string, now time.Time) *account {
	a := s.accounts[program]
	if a == nil {
		a = &account{reserved: make(map[string]reservation), ended: make(map[string]bool)}
		s.accounts[program] = a
	}
	a.lastUsed = now
	return a
}

// expireReservations counts a reservation as spent if the end of its attempt was not reported by the deadline.
func (s *State) expireReservations(a *account, now time.Time) {
	for id, r := range a.reserved {
		if r.deadline.Before(now) {
			delete(a.reserved, id)
			a.ended[id] = true
			a.spent += r.tokens
		}
	}
}

// Chain returns the input and the output of each turn of a turn's chain, oldest first. It returns false when a
// turn of the chain is missing.
func (s *State) Chain(id string) ([][]byte, bool) {
	var reversed [][]byte
	for id != "" {
		t := s.turns[id]
		if t == nil {
			return nil, false
		}
		reversed = append(reversed, t.output, t.input)
		id = t.previous
	}
	for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
		reversed[i], reversed[j] = reversed[j], reversed[i]
	}
	return reversed, true
}

// Applied reports whether the state already includes the effect of a record.
func (s *State) Applied(r Record) bool {
	if r.Kind == RecordTurn {
		return s.turns[r.Turn] != nil
	}
	a := s.accounts[r.Program]
	if a == nil {
		return r.Program == "" || r.Kind == RecordClaim
	}
	if r.Kind == RecordGrant {
		if s.recovered {
			return a.inherited >= r.Ceiling // the present ceiling is this holder's own
		}
		return a.ceiling >= r.Ceiling
	}
	return a.ended[r.Turn]
}

// Body returns the concatenated text of a turn's chain, to which the input of the next turn is appended.
func (s *State) Body(id string) ([]byte, bool) {
	texts, ok := s.Chain(id)
	if !ok {
		return nil, false
	}
	size := 0
	for _, t := range texts {
		size += len(t)
	}
	body := make([]byte, 0, size)
	for _, t := range texts {
		body = append(body, t...)
	}
	return body, true
}

// ImportChain adds a turn of another partition with the text of its whole chain. The text is divided over as many
// turns as its length needs; all but the last have IDs that no caller can name. It returns the records to store, in
// order: the turn exists once the last of them is stored.
func (s *State) ImportChain(id string, body []byte, retention time.Duration, maxText int, now time.Time) []Record {
	var records []Record
	previous := ""
	for n := 0; n == 0 || len(body) > 0; n++ {
		part := body[:min(len(body), maxText)]
		body = body[len(part):]
		name := id
		if len(body) > 0 {
			name = fmt.Sprintf("%s\n%d", id, n)
		}
		records = append(records, Record{
			Kind: RecordTurn, At: now.UnixMilli(), Turn: name, Previous: previous, Input: part, RetentionMs: retention.Milliseconds(),
		})
		s.turns[name] = &turn{offset: noOffset, previous: previous, input: part, written: now}
		previous = name
	}
	s.extendRetention(id, now.Add(retention+retentionSlack))
	return records
}

// Renew returns records that repeat what is still needed of those written before a time, the oldest first, up to about maxBytes
// of text. The store deletes records by their age, but a turn is needed for as long as its chain is continued, and an account
// for as long as its program goes on. A renewed turn has the rest of its retention, and no part in the budget of its program.
func (s *State) Renew(before, now time.Time, maxBytes int) []Record {
	type aged struct {
		written time.Time
		id      string
		account bool
	}
	var old []aged
	for id, t := range s.turns {
		if t.written.Before(before) && t.offset != noOffset {
			old = append(old, aged{t.written, id, false})
		}
	}
	for program, a := range s.accounts {
		if !a.written.IsZero() && a.written.Before(before) {
			old = append(old, aged{a.written, program, true})
		}
	}
	slices.SortFunc(old, func(x, y aged) int { return cmp.Or(x.written.Compare(y.written), cmp.Compare(x.id, y.id)) })
	var records []Record
	for size := 0; len(old) > 0 && size < maxBytes; old = old[1:] {
		r := Record{At: now.UnixMilli()}
		if id := old[0].id; old[0].account {
			a := s.accounts[id]
			a.written = now
			r.Kind, r.Program, r.Spent, r.Ceiling = RecordGrant, id, a.spent, a.ceiling
		} else {
			t := s.turns[id]
			t.written = now
			r.Kind, r.Turn, r.Previous, r.Input, r.Output = RecordTurn, id, t.previous, t.input, t.output
			r.RetentionMs = max(t.expires.Sub(now)-retentionSlack, 0).Milliseconds()
		}
		size += len(r.Input) + len(r.Output) + len(r.Turn) + len(r.Program)
		records = append(records, r)
	}
	return records
}

// Expire drops turns whose retention is over, and accounts without running attempts that were not used for the
// longest retention. retention is the longest one of the configuration, which also covers programs that keep
// no turns; while it is 0, because the configuration is not known yet, no account is dropped.
func (s *State) Expire(now time.Time, retention time.Duration) {
	s.maxRetention = max(s.maxRetention, retention)
	for id, t := range s.turns {
		if t.expires.Before(now) {
			delete(s.turns, id)
		}
	}
	for program, a := range s.accounts {
		s.expireReservations(a, now)
		if retention > 0 && len(a.reserved) == 0 && a.lastUsed.Add(s.maxRetention+retentionSlack).Before(now) {
			delete(s.accounts, program)
		}
	}
}
