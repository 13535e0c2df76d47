package server

// Sizes returns the number of entries that an instance keeps per request, call and copy. It queries
// the core loop.
func (i *Instance) Sizes() map[string]int {
	answer := make(chan map[string]int, 1)
	i.core.events.post(func() {
		c := i.core
		out := map[string]int{
			"requests": len(c.requests), "parked": len(c.parked), "submissions": len(c.submissions),
			"moving slots": len(c.claims.handovers),
		}
		for _, d := range c.dispatchers {
			out["grants"] += len(d.grants)
		}
		answer <- out
	})
	out := <-answer
	i.endpoints.mu.Lock()
	out["attempts"] = len(i.endpoints.running)
	i.endpoints.mu.Unlock()
	i.copies.mu.Lock()
	out["copies"] = len(i.copies.copies)
	i.copies.mu.Unlock()
	return out
}
