// Package memory is the account of the bytes that an instance holds for requests. It does no I/O and reads no clock.
//
// The load pattern it answers: callers that are not trusted send many requests at once and complete none of them. A
// bound on the size of one request does not bound the sum, so each holder of a request's bytes has a Grant, and all
// grants share one total. When the total is used up, grants that make no progress are revoked, others wait for a
// moment, and the rest is refused.
package memory

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// Grace is how long a body may take whatever its rate. It covers the pauses of a caller whose packets are lost or
	// whose link is cut for some seconds.
	Grace = SilenceTime
	// MinBytesPerSecond is the rate of a body, on average since its begin and after Grace, below which its caller is
	// given up. A link of 1 Mbit/s carries 30 times as much.
	MinBytesPerSecond = 4 << 10
	// SilenceTime is how long a body may bring nothing at all. A caller whose link was cut for several seconds sends again
	// only some time after that: TCP tries after 6.2 s and then after 12.6 s.
	SilenceTime = 20 * time.Second
	// StallTime is the time without progress after which a grant may be revoked when memory is short.
	StallTime = time.Second
	// SmallBytes is the size up to which a grant may use the reserved share.
	SmallBytes = 16 << 10

	// reserveFraction is the fraction of the total that is reserved for small requests and for responses.
	reserveFraction = 8
	// headsFraction is the fraction of the total that request heads may use.
	headsFraction = 4
	// historiesFraction is the fraction of the total that histories may use, and beyond which they leave no less for others:
	// many of them must not refuse all bodies.
	historiesFraction = 2
)

// Kind is what a grant is for.
type Kind uint8

// Kinds of holders.
const (
	Heads     Kind = iota // heads of requests
	Reading               // bodies that are being read
	Waiting               // bodies of requests that have been read
	Responses             // responses and events that the caller has not got yet
	Histories             // text of earlier turns, and output that is kept for the next one
	kinds
)

var kindNames = [kinds]string{"heads", "bodies_reading", "bodies_waiting", "responses", "histories"}

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// AllKinds returns all kinds.
func AllKinds() []Kind { return []Kind{Heads, Reading, Waiting, Responses, Histories} }

// SlowAt returns the time at which a body counts as too slow unless more of it arrives. last is the time of the last
// progress.
func SlowAt(begun, last time.Time, received int64) time.Time {
	slow, silent := begun.Add(Grace+time.Duration(received)*time.Second/MinBytesPerSecond), last.Add(SilenceTime)
	if silent.Before(slow) {
		return silent
	}
	return slow
}

// Account grants bytes up to a total. It is safe for concurrent use.
type Account struct {
	total, reserve, heads int64

	mu        sync.Mutex
	used      [kinds]int64
	sum       int64
	revocable map[*Grant]struct{}
	waits     []*Wait // in the order of arrival
}

// NewAccount returns an Account of total bytes.
func NewAccount(total int64) *Account {
	return &Account{total: total, reserve: total / reserveFraction, heads: total / headsFraction, revocable: make(map[*Grant]struct{})}
}

// Total returns the bytes that the account grants together.
func (a *Account) Total() int64 { return a.total }

// Held returns the bytes that are granted for a kind.
func (a *Account) Held(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[k]
}

// WaitCount returns the number of grants that wait for bytes.
func (a *Account) WaitCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waits)
}

// Grant is the bytes of one holder.
type Grant struct {
	a          *Account
	kind       Kind
	held       int64
	begun      time.Time
	progressAt time.Time
	progress   int64
	recent     int64 // bytes since progressAt
	revoke     func()
	revoked    bool
}

// Open returns a Grant without bytes. revoke is called once if the grant is revoked; it must not block or call the
// account. With a nil revoke the grant is never revoked.
func (a *Account) Open(k Kind, now time.Time, revoke func()) *Grant {
	g := &Grant{a: a, kind: k, begun: now, progressAt: now, revoke: revoke}
	if revoke != nil {
		a.mu.Lock()
		a.revocable[g] = struct{}{}
		a.mu.Unlock()
	}
	return g
}

// Wait is a request for bytes that are not free yet.
type Wait struct {
	g       *Grant
	n       int64
	granted chan struct{}
}

// Granted returns a channel that is closed once the bytes are granted.
func (w *Wait) Granted() <-chan struct{} { return w.granted }

// fits reports whether a grant may have n more bytes. The caller holds the lock.
func (a *Account) fits(g *Grant, n int64) bool {
	if g.kind == Histories && a.used[Histories]+n > a.total/historiesFraction {
		return false
	}
	limit := a.total
	if g.kind != Responses && g.held+n > SmallBytes {
		limit -= a.reserve
	}
	taken := a.sum - max(a.used[Histories]-a.total/historiesFraction, 0)
	return taken+n <= limit && (g.kind != Heads || a.used[Heads]+n <= a.heads)
}

func (a *Account) add(g *Grant, n int64) {
	g.held += n
	a.used[g.kind] += n
	a.sum += n
}

// Try grants n more bytes if they are free.
func (g *Grant) Try(n int64) bool {
	a := g.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(g, n) {
		return false
	}
	a.add(g, n)
	return true
}

// Force grants n more bytes in any case. It is for bytes that are bounded elsewhere and cannot be refused any more.
func (g *Grant) Force(n int64) {
	g.a.mu.Lock()
	defer g.a.mu.Unlock()
	g.a.add(g, n)
}

// Grow grants n more bytes and returns nil, or returns a Wait for them. In the second case grants without progress are
// revoked, those with the lowest rate first, until their bytes suffice.
func (g *Grant) Grow(n int64, now time.Time) *Wait {
	a := g.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fits(g, n) {
		a.add(g, n)
		return nil
	}
	a.revokeStalled(g, n, now)
	w := &Wait{g: g, n: n, granted: make(chan struct{})}
	a.waits = append(a.waits, w)
	return w
}

// revokeStalled revokes grants without progress until n bytes are about to be returned. The caller holds the lock.
func (a *Account) revokeStalled(except *Grant, n int64, now time.Time) {
	var stalled []*Grant
	for g := range a.revocable {
		switch {
		case g.revoked:
			n -= g.held
		case g != except && g.held > 0 && now.Sub(g.progressAt) >= StallTime:
			stalled = append(stalled, g)
		}
	}
	slices.SortFunc(stalled, func(x, y *Grant) int { return cmp.Compare(x.rate(now), y.rate(now)) })
	for _, g := range stalled {
		if n <= 0 {
			return
		}
		n -= g.held
		g.revoked = true
		g.revoke()
	}
}

// rate returns the bytes per second that a grant has received since its begin.
func (g *Grant) rate(now time.Time) float64 {
	return float64(g.progress) / max(now.Sub(g.begun).Seconds(), 1)
}

// Cancel ends a wait. It returns false if the bytes have been granted in the meantime.
func (a *Account) Cancel(w *Wait) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waits, w)
	if i < 0 {
		return false
	}
	a.waits = slices.Delete(a.waits, i, i+1)
	a.serveWaits()
	return true
}

// serveWaits grants what fits, in the order of arrival. A wait that does not fit does not hold up the smaller ones
// behind it. The caller holds the lock.
func (a *Account) serveWaits() {
	a.waits = slices.DeleteFunc(a.waits, func(w *Wait) bool {
		if !a.fits(w.g, w.n) {
			return false
		}
		a.add(w.g, w.n)
		close(w.granted)
		return true
	})
}

// Progress notes that n bytes have arrived.
func (g *Grant) Progress(n int64, now time.Time) {
	g.a.mu.Lock()
	defer g.a.mu.Unlock()
	g.progress += n
	// Single bytes are no progress, or a body that trickles would never count as stalled.
	g.recent += n
	if g.recent >= int64(MinBytesPerSecond*StallTime/time.Second) {
		g.recent, g.progressAt = 0, now
	}
}

// Shrink returns n bytes.
func (g *Grant) Shrink(n int64) {
	g.a.mu.Lock()
	defer g.a.mu.Unlock()
	g.a.add(g, -n)
	g.a.serveWaits()
}

// Revoked reports whether the grant has been revoked. Its holder must release it soon.
func (g *Grant) Revoked() bool {
	g.a.mu.Lock()
	defer g.a.mu.Unlock()
	return g.revoked
}

// Keep turns the grant into one of another kind that is not revoked any more. It returns false if it has been
// revoked already.
func (g *Grant) Keep(k Kind) bool {
	a := g.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if g.revoked {
		return false
	}
	delete(a.revocable, g)
	a.used[g.kind] -= g.held
	a.used[k] += g.held
	g.kind = k
	return true
}

// Release returns all bytes. The grant may be released again, without effect.
func (g *Grant) Release() {
	a := g.a
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.revocable, g)
	a.add(g, -g.held)
	a.serveWaits()
}
