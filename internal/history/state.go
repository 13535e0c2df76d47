// Package history holds the turns of programs and the tokens that programs have spent, for one
// partition of the history topic. It has no I/O: the holder of the partition decides here, writes the
// records that the decisions return, and answers callers once they are in the store.
//
// The rules that it keeps:
//   - A turn that was answered whole is found, with its chain, until its retention is over.
//   - The tokens handed out to a program never exceed its budget. Tokens are set aside for the most
//     that an attempt may generate before it runs; what it leaves is given back when it ends. An
//     attempt whose end is not known counts with all of it.
//   - The tokens handed out never exceed a ceiling that is in the store. Each end of a turn sets it far
//     enough ahead for the next turn, so that most turns need no record before they run. A holder that
//     takes over counts all up to the ceiling, since it can't know which attempts ran.
//   - While the store takes no records, a program gets at most about the tokens of one turn above the ceiling
//     that is in the store: if all instances lose their memory then, no more is forgotten (Covered).
package history

import (
	"time"
)

// keepSlack is added to the retention of turns, for clocks that differ between instances.
const keepSlack = 10 * time.Second

// Begin asks to run an attempt of a turn.
type Begin struct {
	Program        string        `msgpack:"p"`
	Turn           string        `msgpack:"id"`
	Previous       string        `msgpack:"pr"`
	MaxTokens      int64         `msgpack:"n"`
	ExpectedTokens int64         `msgpack:"ly"` // tokens that the caller expects at the median; 0: not told
	Budget         int64         `msgpack:"b"`
	EnforceBudget  bool          `msgpack:"l"`  // Budget holds
	HasChain       bool          `msgpack:"kn"` // the asker has the chain of Previous
	MaxDuration    time.Duration `msgpack:"tl"` // after this time the attempt has ended
}

// End tells how an attempt ended.
type End struct {
	Program  string        `msgpack:"p"`
	Turn     string        `msgpack:"id"`
	Previous string        `msgpack:"pr"`
	Complete bool          `msgpack:"w"`
	Input    []byte        `msgpack:"in"`  // whole turns only
	Output   []byte        `msgpack:"out"` // whole turns only
	Tokens   int64         `msgpack:"n"`   // handed out
	Reserved int64         `msgpack:"m"`   // what was set aside for the attempt
	Keep     time.Duration `msgpack:"kp"`
}

// Outcome is the answer to a Begin.
type Outcome uint8

// Outcomes.
const (
	// Granted allows the attempt, once its record, if there is one, is in the store.
	Granted Outcome = iota + 1
	// UnknownTurn means that this partition has no turn of that name.
	UnknownTurn
	// OverBudget means that the budget doesn't hold the attempt, whatever becomes of running ones.
	OverBudget
	// MustWait means that the budget holds the attempt once running ones give back what they leave.
	MustWait
)

type turn struct {
	previous string
	input    []byte
	output   []byte
	expires  time.Time
}

type reservation struct {
	tokens int64
	ends   time.Time // after this it counts as spent
}

// account is what a program has used of its budget.
type account struct {
	spent    int64
	budget   int64                  // as the newest attempt told; 0 while none did
	ceiling  int64                  // of the newest grant
	stored   int64                  // ceiling that a holder would find in the store
	most     int64                  // largest reservation of an attempt
	unknown  int64                  // may have been handed out under an earlier holder
	reserved map[string]reservation // by attempt
	ended    map[string]bool        // attempts whose end was counted
	touched  time.Time
}

// used is what counts against the budget, running attempts with all that was set aside for them.
func (a *account) used() int64 { return a.spent + a.unknown + a.held() }

func (a *account) held() int64 {
	var sum int64
	for _, r := range a.reserved {
		sum += r.tokens
	}
	return sum
}

// State is the content of a partition. It is not safe for concurrent use.
type State struct {
	turns    map[string]*turn
	accounts map[string]*account
	epoch    int64 // of the newest claim
	longest  time.Duration
}

// NewState returns an empty State.
func NewState() *State {
	return &State{turns: make(map[string]*turn), accounts: make(map[string]*account)}
}

// Epoch returns the epoch of the newest claim.
func (s *State) Epoch() int64 { return s.epoch }

// Turns returns the number of turns held.
func (s *State) Turns() int { return len(s.turns) }

// HasTurn tells whether a turn is held.
func (s *State) HasTurn(id string) bool { return s.turns[id] != nil }

// Begin decides on an attempt. With Granted it returns the record of a grant, if one is needed.
func (s *State) Begin(b Begin, now time.Time) (Outcome, *Record) {
	if b.Previous != "" && s.turns[b.Previous] == nil {
		return UnknownTurn, nil
	}
	if !b.EnforceBudget || b.Program == "" {
		return Granted, nil
	}
	a := s.account(b.Program, now)
	s.settleOverdue(a, now)
	if _, repeated := a.reserved[b.Turn]; repeated || a.ended[b.Turn] {
		return Granted, nil
	}
	switch {
	case a.spent+a.unknown+b.MaxTokens > b.Budget:
		return OverBudget, nil
	case a.used()+b.MaxTokens > b.Budget:
		return MustWait, nil
	}
	a.budget = b.Budget
	a.most = max(a.most, b.MaxTokens)
	a.reserved[b.Turn] = reservation{tokens: b.MaxTokens, ends: now.Add(b.MaxDuration)}
	if a.used() <= a.ceiling {
		return Granted, nil
	}
	a.ceiling = a.used()
	return Granted, &Record{
		Kind: RecordGrant, At: now.UnixMilli(), Program: b.Program, Spent: a.spent, Ceiling: a.ceiling,
	}
}

// AllowedInOutage tells whether an attempt may run while the store takes no records. What peers hold in memory is
// lost if all instances lose power; the program is then granted again all above the ceiling in the store. Up
// to the tokens of one turn may be lost so without harm. Attempts count with what they are likely to use, and
// those of a program that has used half of its budget with the most that they may.
func (s *State) AllowedInOutage(b Begin) bool {
	if !b.EnforceBudget || b.Program == "" {
		return true
	}
	var used, spent, stored int64
	most := b.MaxTokens
	if a := s.accounts[b.Program]; a != nil {
		if _, repeated := a.reserved[b.Turn]; repeated {
			return true
		}
		used, spent, stored, most = a.used(), a.spent, a.stored, max(a.most, most)
	}
	need := b.MaxTokens
	if b.ExpectedTokens > 0 && 2*spent < b.Budget {
		need = min(need, b.ExpectedTokens)
	}
	return used+need <= stored+most
}

// MarkStored tells that a record is in the store.
func (s *State) MarkStored(r Record) {
	if a := s.accounts[r.Program]; a != nil && r.Ceiling > 0 {
		a.stored = r.Ceiling
	}
}

// HasReservation tells whether an attempt runs by leave of this state.
func (s *State) HasReservation(program, turn string) bool {
	a := s.accounts[program]
	if a == nil {
		return false
	}
	_, ok := a.reserved[turn]
	return ok
}

// End takes the end of an attempt and returns the record that tells of it. It returns false for an
// end that was taken before.
func (s *State) End(e End, now time.Time) (Record, bool) {
	a := s.account(e.Program, now)
	if a.ended[e.Turn] && (!e.Complete || s.turns[e.Turn] != nil) {
		return Record{}, false
	}
	if _, running := a.reserved[e.Turn]; !running && !a.ended[e.Turn] {
		// It ran by leave of an earlier holder, so it is part of what isn't known.
		a.unknown -= min(a.unknown, e.Reserved)
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
		r.Previous, r.Input, r.Output, r.RetentionMs = e.Previous, e.Input, e.Output, e.Keep.Milliseconds()
	}
	s.apply(r, now, 0)
	if a.budget > 0 {
		a.ceiling = max(min(a.used()+e.Reserved, a.budget), a.used())
		r.Ceiling = a.ceiling
	}
	return r, true
}

// FinishRecovery tells that all records of earlier holders were loaded. What they granted and didn't record as
// spent may have been handed out.
func (s *State) FinishRecovery() {
	for _, a := range s.accounts {
		a.unknown = max(a.ceiling-a.spent, 0)
	}
}

// Load takes a record that was read from the store. wall is the time of day, which ages the record.
func (s *State) Load(r Record, now, wall time.Time) {
	age := max(wall.Sub(time.UnixMilli(r.At)), 0)
	s.apply(r, now, age)
	s.MarkStored(r)
}

func (s *State) apply(r Record, now time.Time, age time.Duration) {
	switch r.Kind {
	case RecordClaim:
		s.epoch = max(s.epoch, r.Epoch)
		return
	case RecordGrant:
		a := s.account(r.Program, now)
		a.spent = max(a.spent, r.Spent)
		a.ceiling = r.Ceiling
	case RecordTurn, RecordEnd:
		s.settle(r, now)
	}
	if r.Kind == RecordTurn && age < r.keep()+keepSlack {
		s.turns[r.Turn] = &turn{previous: r.Previous, input: r.Input, output: r.Output}
		s.longest = max(s.longest, r.keep())
		s.extend(r.Turn, now.Add(r.keep()+keepSlack-age))
	}
}

// settle takes the end of an attempt into the account of its program.
func (s *State) settle(r Record, now time.Time) {
	if r.Program == "" {
		return
	}
	a := s.account(r.Program, now)
	delete(a.reserved, r.Turn)
	a.ended[r.Turn] = true
	a.spent = max(a.spent, r.Spent)
	if r.Ceiling > 0 {
		a.ceiling = r.Ceiling
	}
}

// LoadCopy takes a record that only peers held. Copies come in no order, so that a ceiling counts only if it
// is the highest.
func (s *State) LoadCopy(r Record, now time.Time) {
	ceiling := int64(0)
	if a := s.accounts[r.Program]; a != nil {
		ceiling = a.ceiling
	}
	s.apply(r, now, 0)
	if a := s.accounts[r.Program]; a != nil {
		a.ceiling = max(a.ceiling, ceiling)
	}
}

// extend keeps a turn and its chain at least until the given time.
func (s *State) extend(id string, until time.Time) {
	for t := s.turns[id]; t != nil && t.expires.Before(until); t = s.turns[t.previous] {
		t.expires = until
	}
}

func (s *State) account(program string, now time.Time) *account {
	a := s.accounts[program]
	if a == nil {
		a = &account{reserved: make(map[string]reservation), ended: make(map[string]bool)}
		s.accounts[program] = a
	}
	a.touched = now
	return a
}

// settleOverdue counts attempts as spent whose end should have been known by now.
func (s *State) settleOverdue(a *account, now time.Time) {
	for id, r := range a.reserved {
		if r.ends.Before(now) {
			delete(a.reserved, id)
			a.ended[id] = true
			a.spent += r.tokens
		}
	}
}

// Chain returns the texts of a turn's chain, oldest first: input and output of each turn by turns. It
// returns false when a turn of the chain is missing.
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

// Applied tells whether what a record says is part of the state already.
func (s *State) Applied(r Record) bool {
	if r.Kind == RecordTurn {
		return s.turns[r.Turn] != nil
	}
	a := s.accounts[r.Program]
	if a == nil {
		return r.Program == "" || r.Kind == RecordClaim
	}
	if r.Kind == RecordGrant {
		return a.ceiling >= r.Ceiling
	}
	return a.ended[r.Turn]
}

// Body returns the text of a turn's chain in one piece, to which the next input is added.
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

// ImportChain takes the chain of a turn of another partition, as a single turn with all its text. It returns
// the record that makes it last.
func (s *State) ImportChain(id string, body []byte, keep time.Duration, now time.Time) Record {
	r := Record{Kind: RecordTurn, At: now.UnixMilli(), Turn: id, Input: body, RetentionMs: keep.Milliseconds()}
	s.turns[id] = &turn{input: body}
	s.extend(id, now.Add(keep+keepSlack))
	return r
}

// Expire drops turns and accounts whose time is over.
func (s *State) Expire(now time.Time) {
	for id, t := range s.turns {
		if t.expires.Before(now) {
			delete(s.turns, id)
		}
	}
	for program, a := range s.accounts {
		s.settleOverdue(a, now)
		if len(a.reserved) == 0 && a.touched.Add(s.longest+keepSlack).Before(now) {
			delete(s.accounts, program)
		}
	}
}
