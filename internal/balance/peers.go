package balance

import (
	"math"
	"time"
)

const (
	// memberTTL is how long a peer counts as a member after its last report. Idle instances send no reports, and
	// ownership should not move whenever one of them is idle for a moment.
	memberTTL = 3 * time.Second
	// rankInterval is how often the rank among the members is updated.
	rankInterval = 500 * time.Millisecond
	// ageInterval is how often the mean age of the reports is updated.
	ageInterval = 50 * time.Millisecond
	// transitTime is the assumed time between the count at a peer and the receipt of its report.
	transitTime = 50 * time.Millisecond
)

// member is an instance that has sent a report.
type member struct {
	zone string
	seen time.Time
}

// membership is the rank of this instance among the instances that have sent reports.
type membership struct {
	name    string
	members map[string]member
	rank    int
	count   int
	ranked  time.Time
	age     time.Duration // mean age of the reports
	aged    time.Time
}

// SetInstance sets the name of this instance, which is its name in the reports that its peers receive.
func (b *Balancer) SetInstance(name string) { b.membership.name = name }

func (m *membership) saw(name, zone string, now time.Time) {
	if m.name == "" {
		return // decisions are never spread
	}
	if m.members == nil {
		m.members = make(map[string]member)
	}
	if _, known := m.members[name]; !known {
		m.expire(now) // with few peers rank is not called
	}
	m.members[name] = member{zone: zone, seen: now}
}

// expire drops the members that have sent no report for memberTTL.
func (m *membership) expire(now time.Time) {
	for name, other := range m.members {
		if now.Sub(other.seen) >= memberTTL {
			delete(m.members, name)
		}
	}
}

// rank returns how many instances come before this one in the order of zone and name, and their total number.
func (b *Balancer) rank(now time.Time) (rank, count int) {
	m := &b.membership
	if m.count > 0 && now.Sub(m.ranked) < rankInterval {
		return m.rank, m.count
	}
	m.expire(now)
	m.rank, m.count, m.ranked = 0, 1, now
	for name, other := range m.members {
		if other.zone < b.zone || other.zone == b.zone && name < m.name {
			m.rank++
		}
		m.count++
	}
	return m.rank, m.count
}

// reportAge returns the mean age of the reports in use.
func (b *Balancer) reportAge(now time.Time) time.Duration {
	m := &b.membership
	if len(b.peers) == 0 {
		return 0
	}
	if m.aged.IsZero() || now.Sub(m.aged) >= ageInterval {
		sum := time.Duration(0)
		for _, r := range b.peers {
			sum += now.Sub(r.at)
		}
		m.age, m.aged = sum/time.Duration(len(b.peers))+transitTime, now
	}
	return m.age
}

// keptShare returns the share of the reported requests that have not ended since, if requests take usual seconds. The
// others are taken to be replaced by requests at any endpoint.
func (b *Balancer) keptShare(usual float64, now time.Time) float64 {
	return math.Exp(-b.reportAge(now).Seconds() / usual)
}
