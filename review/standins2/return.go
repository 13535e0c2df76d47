package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// returnCase runs programs that loop until they are told that their budget is spent, and that return some times, each
// time within the retention of what was said. Before the last return the process of one instance is killed.
func returnCase(t *trial) ([]string, error) {
	const (
		maxTokens, budget, programs = 34, 340, 24
		width                       = 5
		pause                       = 25 * time.Second // between a stop and the return
		killAt                      = 72 * time.Second
		lastReturn                  = 76 * time.Second
	)
	c, err := newCluster(t, 3)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return nil, err
	}
	c.retention = 30 * time.Second
	c.putTurns()
	c.addServers(engines, 9, generate)
	if err := c.startAll(); err != nil {
		return nil, err
	}
	begun := time.Now()
	stopOthers := c.otherPrograms()
	defer stopOthers()
	var agents []*agent
	for n := range programs {
		agents = append(agents, &agent{c: c, id: fmt.Sprintf("3fa8%02d%s", n, nextID()[:4]), budget: budget})
	}
	firsts := make([]string, programs)
	forAll(agents, func(n int, a *agent) {
		first := a.run(a.id+"-0", turn{maxTokens: maxTokens, hint: maxTokens, input: "begin;"})
		if first.status != http.StatusOK {
			t.printf("first turn of %s ended with %d", a.id, first.status)
			return
		}
		firsts[n] = first.id
		a.loop(width, first.id, maxTokens, maxTokens)
	})
	for n, a := range agents {
		t.printf("program %s has been stopped with %d of %d tokens", a.id, a.total(), a.budget)
		if firsts[n] == "" {
			return nil, fmt.Errorf("program %s did not begin", a.id)
		}
	}
	comeBack := func() {
		forAll(agents, func(_ int, a *agent) { a.loop(width, "", maxTokens, maxTokens) })
	}
	for next := pause; next < killAt; next += pause {
		time.Sleep(time.Until(begun.Add(next)))
		t.printf("all programs return")
		comeBack()
	}
	time.Sleep(time.Until(begun.Add(killAt)))
	if t.trouble {
		c.instances[0].kill()
		t.printf("%s has been killed", c.instances[0].name)
		time.Sleep(time.Second)
		if err := c.start(c.instances[0]); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(begun.Add(lastReturn)))
	t.printf("all programs return for the last time")
	comeBack()
	var broken []string
	for _, a := range agents {
		broken = append(broken, checkBudget(t, a, maxTokens)...)
	}
	return broken, nil
}

// otherPrograms lets other programs run one turn each, again and again, until the returned function is called.
func (c *cluster) otherPrograms() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(otherInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			a := &agent{c: c, id: backgroundProgram + nextID(), budget: 100 * tokensPerEvent, quiet: true}
			wg.Go(func() { a.run(a.id, turn{maxTokens: tokensPerEvent, hint: tokensPerEvent, input: "other;"}) })
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// otherInterval is the time between the starts of other programs.
const otherInterval = 100 * time.Millisecond

// forAll runs a function for all programs at the same time.
func forAll(agents []*agent, f func(n int, a *agent)) {
	var wg sync.WaitGroup
	for n, a := range agents {
		wg.Go(func() { f(n, a) })
	}
	wg.Wait()
}
