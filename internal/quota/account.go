package quota

import (
	"math"
	"time"
)

const (
	// unansweredRetry is the time after which an instance asks again when the issuer did not answer.
	unansweredRetry = 50 * time.Millisecond
	// maxQuiet is the longest time without a question after requests were not granted. It is shorter than what callers
	// are told, as others that were told a time may not come back.
	maxQuiet = 200 * time.Millisecond
	// maxServed bounds the programs that are named in a Want, and maxCredits the leases of which it gives requests back.
	maxServed  = 64
	maxCredits = 16
	// demandSpan is the time constant of the mean of the demand.
	demandSpan = time.Second
	// extraPart is the part of the demand within the life of a lease that is asked for ahead. What isn't used in time is
	// credited back late or lost.
	extraPart = 0.5
	// waitLimit is how long a request waits for a token that the issuer has announced before it is refused, and
	// freshWaitLimit the same while the bucket of a new issuer, which started empty, fills.
	waitLimit      = 100 * time.Millisecond
	freshWaitLimit = 2 * time.Second
	// lostWaitLimit is how long a request waits for an issuer that has just ceased to answer: longer than the usual time
	// until another one takes over, which is the TTL of a membership and what is needed to learn of it.
	lostWaitLimit = 1500 * time.Millisecond
	// lostRetryAfter is when the caller of a request that was refused without an issuer may come back.
	lostRetryAfter = 500 * time.Millisecond
)

// Unit is the permission to send one request to an endpoint.
type Unit struct {
	Lease   uint64 // 0: from the instance's own share
	Granted time.Time
	Expires time.Time
}

// Valid reports whether the request may still be sent.
func (u Unit) Valid(now time.Time) bool { return now.Before(u.Expires) }

// Account holds the leases of an instance for one team and decides when to ask for more. It is not safe for concurrent
// use.
type Account struct {
	stock   [Classes][]stocked // the earliest to expire first
	credits []Credit
	served  []uint64
	demand  float64 // decaying count of requests within demandSpan
	countAt time.Time

	asking   bool
	askedAt  time.Time
	terms    Terms              // when asked
	retryAt  [Classes]time.Time // when the issuer expects a token for the class
	fresh    bool
	foundAt  time.Time          // when the issuer answered again after it had not
	askAt    [Classes]time.Time // when to ask again for the class
	quietTo  time.Time          // not to ask before, as the issuer did not answer
	lostAt   time.Time          // since when the issuer has not answered; zero if it has
	cutAt    time.Time          // since when there is no connection to the issuer; zero if there is
	own      float64            // tokens of the own share
	ownAt    time.Time          // up to when they were added
	ownUse   bool               // the own share is in use
	Programs *Programs
}

type stocked struct {
	unit Unit
	n    int
}

// NewAccount returns an Account without leases.
func NewAccount() *Account { return &Account{Programs: NewPrograms()} }

// Arrived counts a request for the estimate of the demand.
func (a *Account) Arrived(now time.Time) {
	a.decay(now)
	a.demand++
}

func (a *Account) decay(now time.Time) {
	if elapsed := now.Sub(a.countAt); elapsed > 0 {
		a.demand *= math.Exp(-float64(elapsed) / float64(demandSpan))
		a.countAt = now
	}
}

// Take takes the permission for a request. Requests of begun programs also use what was granted for first turns.
func (a *Account) Take(class Class, now time.Time) (Unit, bool) {
	a.drop(now)
	for c := class; c < Classes; c++ {
		if c != class && class != Begun {
			break
		}
		if u, ok := a.takeFrom(c); ok {
			return u, true
		}
	}
	return Unit{}, false
}

func (a *Account) takeFrom(class Class) (Unit, bool) {
	s := a.stock[class]
	if len(s) == 0 {
		return Unit{}, false
	}
	u := s[0].unit
	if s[0].n--; s[0].n == 0 {
		a.stock[class] = s[1:]
	}
	return u, true
}

// drop removes expired leases. Their requests are credited back, as the issuer may still accept that.
func (a *Account) drop(now time.Time) {
	for class := range a.stock {
		for len(a.stock[class]) > 0 && !a.stock[class][0].unit.Valid(now) {
			a.credit(a.stock[class][0].unit, a.stock[class][0].n)
			a.stock[class] = a.stock[class][1:]
		}
	}
}

func (a *Account) credit(u Unit, n int) {
	if u.Lease == 0 {
		return
	}
	for i := range a.credits {
		if a.credits[i].Lease == u.Lease {
			a.credits[i].N += n
			return
		}
	}
	if len(a.credits) >= maxCredits {
		a.credits = a.credits[1:]
	}
	a.credits = append(a.credits, Credit{Lease: u.Lease, N: n})
}

// GiveBack returns the permission of a request that was refused or never sent.
func (a *Account) GiveBack(class Class, u Unit, now time.Time) {
	if !u.Valid(now) {
		a.credit(u, 1)
		return
	}
	// It may be used before others that expire earlier, which only costs these.
	a.stock[class] = append([]stocked{{unit: u, n: 1}}, a.stock[class]...)
}

// Served records the program of a request that was sent.
func (a *Account) Served(program uint64, now time.Time) {
	a.Programs.Note(program, now)
	if len(a.served) < maxServed {
		a.served = append(a.served, program)
	}
}

func (a *Account) stockSize() int {
	n := 0
	for _, class := range a.stock {
		for _, s := range class {
			n += s.n
		}
	}
	return n
}

// MayAsk reports whether the issuer may be asked for the requests that wait, by class. It may if one of them can be
// granted or if enough requests are expected that there should be more at hand.
func (a *Account) MayAsk(need [Classes]int, terms Terms, now time.Time) bool {
	if a.asking || a.quietTo.After(now) {
		return false
	}
	for class, n := range need {
		if n > 0 && !a.askAt[class].After(now) {
			return true
		}
	}
	// Half of what should be at hand is left when more is asked for, so that one question brings several.
	return total(need) == 0 && !a.askAt[Begun].After(now) && a.extra(terms, now) > 2*a.stockSize()
}

// extra returns how many requests beyond those that wait should be at hand.
func (a *Account) extra(terms Terms, now time.Time) int {
	a.decay(now)
	return int(a.demand / demandSpan.Seconds() * terms.Lease.Seconds() * extraPart)
}

// Ask returns what to ask the issuer for. Exactly one call of Answered or Unanswered follows. The credits count as
// delivered, since a credit that is sent twice would count twice.
func (a *Account) Ask(need [Classes]int, unknown []uint64, terms Terms, now time.Time) Want {
	a.drop(now)
	a.Programs.Prune(now)
	a.asking, a.askedAt, a.terms = true, now, terms
	w := Want{
		Need: need, Extra: max(a.extra(terms, now)-a.stockSize(), 0), Credits: a.credits, Served: a.served,
		Unknown: unknown[:min(len(unknown), maxServed)], OwnShare: a.ownUse,
	}
	a.credits, a.served = nil, nil
	return w
}

// Answered applies the issuer's answer. The life of a lease begins when the instance asked for it, so that an answer
// that arrives late can't be used late.
func (a *Account) Answered(r Answer, now time.Time) {
	if !a.lostAt.IsZero() {
		a.foundAt = now
	}
	a.asking, a.lostAt, a.cutAt, a.ownUse, a.own, a.fresh = false, time.Time{}, time.Time{}, false, 0, r.Fresh
	unit := Unit{Lease: r.Lease, Granted: a.askedAt, Expires: a.askedAt.Add(a.terms.Lease)}
	for class, n := range r.Granted {
		if n > 0 {
			a.stock[class] = append(a.stock[class], stocked{unit: unit, n: n})
		}
		a.retryAt[class], a.askAt[class] = time.Time{}, time.Time{}
		if r.RetryAfter[class] > 0 {
			a.retryAt[class] = now.Add(r.RetryAfter[class])
			a.askAt[class] = now.Add(min(r.RetryAfter[class], maxQuiet))
		}
	}
	for _, program := range r.Begun {
		a.Programs.SetKnown(program, false, now)
	}
	for _, program := range r.Loops {
		a.Programs.SetKnown(program, true, now)
	}
}

// Unanswered records that the issuer didn't answer. connected tells whether there is a connection to it.
func (a *Account) Unanswered(connected bool, now time.Time) {
	a.asking = false
	if connected {
		a.cutAt = time.Time{}
	} else if a.cutAt.IsZero() {
		a.cutAt = now
	}
	a.quietTo = now.Add(unansweredRetry)
	if a.lostAt.IsZero() {
		a.lostAt = a.askedAt
	}
}

// Lost returns for how long the issuer has not answered; 0 if it has.
func (a *Account) Lost(now time.Time) time.Duration {
	if a.lostAt.IsZero() {
		return 0
	}
	return now.Sub(a.lostAt)
}

// TakeOwn takes the permission for a request from the instance's own share, which it may issue some time after it has
// lost the connection to the issuer. It starts empty. rank is the position of this instance for the team among all: only
// the first of them issue, as each adds the content of its bucket to what is issued in a window. An issuer has named rank
// and instances within CensusMemory; instances is 0 if none has, as a restarted instance may know few of the others.
func (a *Account) TakeOwn(terms Terms, instances, rank int, now time.Time) (Unit, bool) {
	if a.cutAt.IsZero() || now.Sub(a.cutAt) < ownShareAfter || rank >= terms.OwnShares || instances < 1 {
		a.ownUse = false
		return Unit{}, false
	}
	if !a.ownUse {
		a.ownUse, a.own = true, 0
		if from := a.cutAt.Add(ownShareAfter); a.ownAt.Before(from) {
			a.ownAt = from // each change of the rank would give a request otherwise
		}
	}
	a.own = min(a.own+terms.Rate*terms.ownShare(instances)*now.Sub(a.ownAt).Seconds(), 1)
	a.ownAt = now
	if a.own < 1 {
		return Unit{}, false
	}
	a.own--
	return Unit{Granted: now, Expires: now.Add(terms.Lease)}, true
}

// Verdict is what becomes of a request that found no permission.
type Verdict uint8

// Verdicts.
const (
	Wait   Verdict = iota
	Refuse         // the team is over its quota
	Unsure         // the issuer doesn't answer, so nothing is known
)

// Decide returns what becomes of a request that has waited without a permission, and when to look again or, if it is
// refused, when the caller may come back.
func (a *Account) Decide(class Class, waited time.Duration, now time.Time) (Verdict, time.Duration) {
	if lost := a.Lost(now); lost > 0 {
		// Each request asks again, so that the account finds an issuer that has come back.
		limit := lostWaitLimit
		if lost > lostWaitLimit+waited {
			limit = waitLimit
		}
		if waited >= limit {
			return Unsure, lostRetryAfter
		}
		return Wait, unansweredRetry
	}
	wait := a.retryAt[class].Sub(now)
	if wait <= 0 {
		return Wait, 0
	}
	limit := waitLimit
	if a.fresh || now.Sub(a.foundAt) < freshFor { // requests that waited for the issuer have piled up
		limit = freshWaitLimit
	}
	if waited+wait > limit {
		return Refuse, wait
	}
	return Wait, wait
}
