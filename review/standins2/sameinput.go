package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"ragwortstile/platform/platformtest"
)

const (
	// commonInput is what several programs say in their second turns.
	commonInput = "go on;"
	// turnCrashAfter is how long a server runs the deadly turn until it crashes.
	turnCrashAfter = 50 * time.Millisecond
	// settle is the time between the last crash and the other programs' turns: all servers are back, and the
	// disruption is longer ago than the stable window.
	settle = downtime + stableWindow + time.Second
	// lostAfterTries is in how many tries a turn may reach no server.
	lostAfterTries = 5
)

// sameInputCase lets the servers crash with a turn of one program. Others say the same in their own conversations later.
func sameInputCase(t *trial) ([]string, error) {
	const programs, servers, maxTokens, budget = 8, 6, 34, 1000
	c, err := newCluster(t, 3)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return nil, err
	}
	deadly := &agent{c: c, id: "3fa81c" + nextID()[:4], budget: budget}
	var mu sync.Mutex
	ran := make(map[string]bool) // attempts that reached a server
	c.putTurns()
	c.addServers(engines, servers, func(e *platformtest.Endpoint, r platformtest.Run) platformtest.Behaviour {
		mu.Lock()
		ran[r.ID] = true
		mu.Unlock()
		if !t.trouble || r.Header.Get(header("Program-Id")) != deadly.id || !strings.HasSuffix(r.Body, commonInput) {
			return platformtest.Behaviour{Events: eventsOf(maxTokens), Pause: eventPause}
		}
		t.printf("the deadly turn %s reaches server %s", r.ID, e.ID)
		time.AfterFunc(turnCrashAfter+downtime, func() { c.list(e, engines) })
		return platformtest.Behaviour{Delay: turnCrashAfter, Crash: downtime}
	})
	if err := c.startAll(); err != nil {
		return nil, err
	}
	agents := []*agent{deadly}
	for n := range programs {
		agents = append(agents, &agent{c: c, id: fmt.Sprintf("77d2%02d%s", n, nextID()[:4]), budget: budget})
	}
	firsts := make([]result, len(agents))
	forAll(agents, func(n int, a *agent) {
		firsts[n] = a.run(a.id, turn{maxTokens: maxTokens, hint: maxTokens, input: "begin " + a.id + ";"})
	})
	for n, r := range firsts {
		if r.status != http.StatusOK {
			return nil, fmt.Errorf("first turn of %s ended with %d", agents[n].id, r.status)
		}
	}
	deadly.run(deadly.id, turn{previous: firsts[0].id, maxTokens: maxTokens, hint: maxTokens, input: commonInput})
	time.Sleep(settle)
	t.printf("the other programs go on")
	var fresh []*agent
	for n := range programs {
		fresh = append(fresh, &agent{c: c, id: fmt.Sprintf("new%02d%s", n, nextID()[:4]), budget: budget})
	}
	freshServed := 0
	var wg sync.WaitGroup
	wg.Go(func() {
		forAll(fresh, func(_ int, a *agent) {
			r := a.run(a.id, turn{maxTokens: maxTokens, hint: maxTokens, input: "begin " + a.id + ";"})
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK {
				freshServed++
			}
		})
	})
	forAll(agents[1:], func(n int, a *agent) {
		a.run(a.id, turn{previous: firsts[n+1].id, maxTokens: maxTokens, hint: maxTokens, input: commonInput})
	})
	wg.Wait()
	t.printf("%d of %d first turns were served at the same time", freshServed, programs)
	if 10*freshServed < 9*programs {
		return nil, nil // the rule excuses it
	}
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	for _, a := range agents[1:] {
		tries, reached := a.attemptsAfterFirst(ran)
		t.printf("%s: the second turn was sent %d times and reached a server %d times", a.id, tries, reached)
		if tries >= lostAfterTries && reached == 0 {
			broken = append(broken, fmt.Sprintf("LOST: the second turn of %s reached no server in %d tries", a.id, tries))
		}
	}
	return broken, nil
}

// attemptsAfterFirst returns how many attempts a program has made at its second turn, and how many of them reached a server.
func (a *agent) attemptsAfterFirst(ran map[string]bool) (tries, reached int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range a.continued {
		tries++
		if ran[id] {
			reached++
		}
	}
	return tries, reached
}
