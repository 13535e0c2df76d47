package balance

import "time"

// Rule is what decided between endpoints.
type Rule uint8

// Rules.
const (
	LeastCost Rule = iota // few peers, or a low load and fresh reports
	OwnSlot               // a slot that this instance owns is free
	FreeSlots             // at random, weighted by the free slots
)

func (r Rule) String() string { return [...]string{"least_cost", "own_slot", "free_slots"}[r] }

// Decision describes what a choice was based on.
type Decision struct {
	Rule      Rule
	Reported  int     // requests at the endpoint by this instance's count and the reports
	Estimated float64 // requests there by the estimate
	Slots     int
	Age       time.Duration // mean age of the reports; 0 without peers

	endpoint string // empty once the decision is counted
}

// Stats counts decisions since the start.
type Stats struct {
	ByRule     [FreeSlots + 1]int64
	Full       int64         // decisions for an endpoint without a free slot by the estimate
	Overloaded int64         // times that an endpoint turned out to be overloaded while it had requests of this instance
	Age        time.Duration // of the reports, at the last decision
	Reported   int64         // sum over decisions
	Estimated  float64       // sum over decisions
}

// count counts the last decision when a request follows it. Some callers only ask what would be chosen.
func (b *Balancer) count(id string) {
	d := b.decision
	if d.endpoint != id {
		return
	}
	b.decision.endpoint = ""
	b.endpointState(id).slots = d.Slots
	b.stats.ByRule[d.Rule]++
	if d.Estimated >= float64(d.Slots) {
		b.stats.Full++
	}
	b.stats.Age = d.Age
	b.stats.Reported += int64(d.Reported)
	b.stats.Estimated += d.Estimated
}

// LastDecision returns what the last successful Pick was based on, until its request is sent.
func (b *Balancer) LastDecision() Decision { return b.decision }

// Stats returns the counts of decisions since the start.
func (b *Balancer) Stats() Stats { return b.stats }

// checkOverload counts an endpoint that is overloaded by the counts of now and was not the last time.
func (b *Balancer) checkOverload(id string, s *endpointState) {
	overloaded := s.slots > 0 && b.load(id) > s.slots
	if overloaded && !s.overloaded {
		b.stats.Overloaded++
	}
	s.overloaded = overloaded
}
