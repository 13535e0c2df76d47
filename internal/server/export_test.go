package server

// Sizes counts what an instance keeps per request, call and copy. It asks the loop.
func (i *Instance) Sizes() map[string]int {
	answer := make(chan map[string]int, 1)
	i.core.events.post(func() {
		c := i.core
		out := map[string]int{
			"requests": len(c.requests), "parked": len(c.parked), "submissions": len(c.submissions),
			"moving slots": len(c.claims.moving),
		}
		for _, d := range c.dispatchers {
			out["grants"] += len(d.grants)
		}
		answer <- out
	})
	out := <-answer
	i.engines.mu.Lock()
	out["attempts"] = len(i.engines.running)
	i.engines.mu.Unlock()
	i.copies.mu.Lock()
	out["copies"] = len(i.copies.copies)
	i.copies.mu.Unlock()
	return out
}
