// Package quota keeps the requests of a team, summed over all instances, within its limit. It does no I/O and reads no
// clock.
//
// An Issuer grants leases of requests, an Account holds the leases of one instance for one team, and a Census tells
// which part of a limit an issuer, or an instance that doesn't reach it, may use. docs/design/quotas.md has the
// arithmetic of the bound.
package quota

import "time"

// Bound is the bound on the requests of a team that arrive at endpoints: in any sliding window at most
// (rate x Window + burst) x (1 + Overage) + Slack.
type Bound struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // requests
}

// Limit is the limit of a team.
type Limit struct {
	PerSecond float64
	Burst     float64 // requests
}

// Parts of Overage x Window, which is the time by which the rate may be exceeded. What they leave goes to the bucket.
const (
	leasePart   = 0.25 // life of a lease
	creditPart  = 0.45 // time in which unused requests of a lease are credited back
	overlapPart = 0.15 // time for which two issuers grant leases at a hand-over
)

const (
	// minLease and maxLease bound the life of a lease. It is at least a few round trips between zones.
	minLease = 50 * time.Millisecond
	maxLease = 500 * time.Millisecond
	// roundingRequests covers a fraction of a request at each end of a window.
	roundingRequests = 2
	// Parts of the surplus over the burst. They add up to 1.
	bucketPart   = 0.75 // the bucket: programs of small teams make most of their requests at once
	ownPart      = 0.1  // own shares
	headroomPart = 0.05 // what an issuer grants beyond the share of the instances that it reaches
	startPart    = 0.1  // what new issuers start with
	// ownRate is the largest share of the rate that all instances together issue to themselves.
	ownRate = 0.1
	// maxStarts bounds the changes of the issuer within a window that the start allowance is made for. A change that is
	// not planned takes at least the TTL of a membership (1 s or more).
	maxStarts = 4
)

// Terms are the parameters of the issue for one limit. They keep the bound by
// Rate x (Window + Lease + Credit + Overlap) + Bucket + OwnShares + Headroom x Rate x Window + maxStarts x Start <= bound.
type Terms struct {
	Rate      float64       // requests per second
	Bucket    float64       // requests that may accumulate
	Lease     time.Duration // from the request for a lease to its expiry
	Credit    time.Duration // from the grant of a lease to the last time at which its unused requests are credited back
	OwnShares int           // instances that may issue to themselves, each with a bucket of one request
	Headroom  float64       // share of Rate beyond that of the instances that the issuer reaches
	Start     float64       // requests that a new issuer starts with
}

// Terms returns the terms for a limit. The rate is lowered where the overage doesn't cover the life of leases.
func (b Bound) Terms(l Limit) Terms {
	excess := b.Overage * b.Window.Seconds()
	clamp := func(part float64) time.Duration {
		return min(max(time.Duration(part*excess*float64(time.Second)), minLease), maxLease)
	}
	t := Terms{Lease: clamp(leasePart), Credit: clamp(creditPart)}
	span := (b.Window + t.Lease + t.Credit).Seconds() + overlapPart*excess
	total := (l.PerSecond*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack - roundingRequests
	t.Rate = max(min(l.PerSecond, (total-1)/span), 0)
	surplus := max(total-t.Rate*span, 0)
	burst := min(surplus, max(l.Burst, 1))
	rest := surplus - burst
	t.Bucket = burst + rest*bucketPart
	if t.Rate > 0 {
		t.Bucket = max(t.Bucket, 1) // rounding must not leave less than a request
		t.Headroom = rest * headroomPart / (t.Rate * b.Window.Seconds())
	}
	t.OwnShares = int(rest * ownPart)
	t.Start = rest * startPart / maxStarts
	return t
}

// ownShare returns the share of the rate that an instance may issue to itself, if it is one of OwnShares.
func (t Terms) ownShare(instances int) float64 {
	return min(1/float64(instances), ownRate/float64(max(t.OwnShares, 1)))
}

// Class is the precedence of a request within the quota of its team.
type Class uint8

// Classes, the highest first.
const (
	Begun Class = iota // belongs to a program that has begun, or to none
	First              // begins a program
	Loop               // belongs to a program that has made many times the usual number of requests
	Classes
)

// String implements fmt.Stringer.
func (c Class) String() string {
	return [...]string{Begun: "begun", First: "first", Loop: "loop", Classes: "unknown"}[min(c, Classes)]
}
