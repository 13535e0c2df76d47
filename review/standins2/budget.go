package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortstile/internal/standin/storestand"
	"ragwortstile/internal/store"
	"ragwortstile/platform/platformtest"
)

func asDialError(err error, op **net.OpError) bool {
	return errors.As(err, op) && (*op).Op == "dial"
}

// eventPause is the time between two events of a model server.
const eventPause = 20 * time.Millisecond

// generate answers each turn with as many tokens as it may have.
func generate(_ *platformtest.Endpoint, r platformtest.Run) platformtest.Behaviour {
	_, out, _ := strings.Cut(r.Header.Get(header("Token-Count")), ",")
	tokens, _ := strconv.Atoi(out)
	return platformtest.Behaviour{Events: eventsOf(tokens), Pause: eventPause}
}

// eventsOf returns the number of events that carry some tokens.
func eventsOf(tokens int) int { return (tokens + tokensPerEvent - 1) / tokensPerEvent }

// newTurns starts a deployment with a route of turns.
func newTurns(t *trial, instances, servers int) (*cluster, error) {
	c, err := newCluster(t, instances)
	if err != nil {
		return c, err
	}
	c.putTurns()
	c.addServers(engines, servers, generate)
	return c, c.startAll()
}

// checkBudget returns how the budget of a program was exceeded. most is the largest number of tokens of one turn, as
// callers count them.
func checkBudget(t *trial, a *agent, most int) []string {
	t.printf("program %s got %d tokens; its budget is %d, the most of one turn %d", a.id, a.total(), a.budget, most)
	if a.total() > a.budget+most {
		return []string{fmt.Sprintf("BUDGET: program %s got %d tokens, more than %d + %d", a.id, a.total(), a.budget, most)}
	}
	return nil
}

// subAgents runs n sub-agents of one turn each at the same time and returns how many were told that the budget is
// spent.
func (a *agent) subAgents(n int, previous string, maxTokens, hint int) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	spent := 0
	for i := range n {
		wg.Go(func() {
			name := fmt.Sprintf("%s-%d", a.id, a.turns.Add(1))
			r := a.run(name, turn{previous: previous, maxTokens: maxTokens, hint: hint, input: fmt.Sprintf("part %d;", i)})
			if r.status == http.StatusPaymentRequired {
				mu.Lock()
				spent++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return spent
}

// loop starts sub-agents again and again until the program is stopped.
func (a *agent) loop(width int, previous string, maxTokens, hint int) {
	for range 10 {
		if a.subAgents(width, previous, maxTokens, hint) > 0 {
			return
		}
	}
}

// roundingCase runs a program that loops without end, with turns whose most tokens are no multiple of the tokens of an
// event.
func roundingCase(t *trial) ([]string, error) {
	const maxTokens, budget, width = 40, 460, 10
	c, err := newTurns(t, 3, 4)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return nil, err
	}
	a := &agent{c: c, id: "3fa81c" + nextID()[:4], budget: budget}
	first := a.run(a.id+"-0", turn{maxTokens: maxTokens, hint: maxTokens, input: "begin;"})
	if !first.complete || first.status != http.StatusOK {
		return nil, fmt.Errorf("first turn ended with %d", first.status)
	}
	if t.trouble {
		a.loop(width, first.id, maxTokens, maxTokens)
	} else {
		a.subAgents(2, first.id, maxTokens, maxTokens)
	}
	return checkBudget(t, a, eventsOf(maxTokens)*tokensPerEvent), nil
}

// outageCase kills all processes during an outage of the store, in which a program runs sub-agents whose turns are
// twice as long as their callers estimate.
func outageCase(t *trial) ([]string, error) {
	const maxTokens, hint, budget, width = 340, 170, 1870, 3
	c, err := newTurns(t, 3, 4)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return nil, err
	}
	a := &agent{c: c, id: "3fa81c" + nextID()[:4], budget: budget}
	first := a.run(a.id+"-0", turn{maxTokens: maxTokens, hint: hint, input: "begin;"})
	if !first.complete || first.status != http.StatusOK {
		return nil, fmt.Errorf("first turn ended with %d", first.status)
	}
	time.Sleep(300 * time.Millisecond)
	done := make(chan struct{})
	if t.trouble {
		go func() {
			defer close(done)
			c.outageWithKill()
		}()
		time.Sleep(100 * time.Millisecond)
	} else {
		close(done)
	}
	a.loop(width, first.id, maxTokens, hint)
	<-done
	return checkBudget(t, a, maxTokens), nil
}

const (
	killAfter    = 2200 * time.Millisecond // from the beginning of the outage
	restartAfter = 300 * time.Millisecond
	outage       = 2600 * time.Millisecond
)

// outageWithKill makes the store refuse all calls for some time and kills all processes meanwhile.
func (c *cluster) outageWithKill() {
	begun := time.Now()
	c.store.SetFault(func(string, store.Partition) storestand.Fault { return storestand.Refuse })
	c.t.printf("the store refuses all calls")
	time.Sleep(time.Until(begun.Add(killAfter)))
	for _, in := range c.instances {
		in.kill()
	}
	c.t.printf("all processes have been killed")
	time.Sleep(restartAfter)
	for _, in := range c.instances {
		if err := c.start(in); err != nil {
			c.t.printf("%s does not start: %v", in.name, err)
		}
	}
	time.Sleep(time.Until(begun.Add(outage)))
	c.store.SetFault(nil)
	c.t.printf("the store serves all calls again")
}
