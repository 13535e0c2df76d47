package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortstile/internal/standin/storestand"
	"ragwortstile/internal/store"
	"ragwortstile/platform/platformtest"
)

const (
	tokensPerEvent = 17
	overrunBudget  = 2312
	mostOfOneTurn  = 289
)

// overrun plays a kill of all processes while the store refuses calls, and counts the tokens that a program gets.
func overrun(rec *record, dir string, trouble bool) (bool, error) {
	const (
		refusing = 4500 * time.Millisecond
		killAt   = 2 * time.Second // after the store began to refuse
		down     = 500 * time.Millisecond
	)
	s := sheet{memoryMB: 154, maxFDs: 8200, parts: 12, graceS: 8, drainMs: 2000, configMs: 2000, stableMs: 3000}
	r, err := setUp(rec, dir, binary(), s, 4, func(n int) string { return fmt.Sprint("zone-", n%4) }, 4,
		func(run platformtest.Run) platformtest.Behaviour {
			_, most, _ := strings.Cut(run.Header.Get(headerPrefix+"Token-Count"), ",")
			tokens, _ := strconv.Atoi(most)
			rec.logf("run %s of at most %d tokens", run.ID, tokens)
			return platformtest.Behaviour{Events: tokens / tokensPerEvent, Delay: 20 * time.Millisecond, Pause: 2 * time.Millisecond}
		}, turnConfig(1))
	defer r.close()
	if err != nil {
		return false, err
	}
	p := &budgeted{rec: rec, fronts: r.readyFronts(), program: fmt.Sprintf("p%x", time.Now().UnixNano()&0xffffff)}
	time.Sleep(2 * time.Second) // the partitions are held
	if trouble {
		r.store.SetFault(func(string, store.Partition) storestand.Fault { return storestand.Refuse })
		rec.say("the store refuses calls")
	}
	struck := time.Now()
	time.Sleep(time.Second)
	// Two sub-agents at the same time. Their callers expect short answers.
	var wg sync.WaitGroup
	for _, most := range []int{mostOfOneTurn - tokensPerEvent, mostOfOneTurn} {
		wg.Go(func() { p.turn(most, tokensPerEvent) })
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(struck.Add(killAt)))
	if trouble {
		for _, i := range r.instances {
			i.kill()
		}
		rec.say("all processes were killed")
		time.Sleep(down)
		for _, i := range r.instances {
			if err := r.start(i); err != nil {
				return false, err
			}
		}
	}
	wg.Wait()
	time.Sleep(time.Until(struck.Add(refusing)))
	r.store.SetFault(nil)
	rec.say("the store answers")
	// The program goes on until its budget is spent.
	for begun := time.Now(); time.Since(begun) < 40*time.Second; time.Sleep(300 * time.Millisecond) {
		if p.turn(mostOfOneTurn, tokensPerEvent) == http.StatusPaymentRequired {
			break
		}
	}
	limit := overrunBudget + mostOfOneTurn
	rec.say("the program got %d tokens of a budget of %d; with the most of one turn %d are allowed", p.tokens, overrunBudget, limit)
	return p.tokens > limit, nil
}

// budgeted is a program that counts the tokens it gets.
type budgeted struct {
	rec     *record
	fronts  func() []string
	program string

	mu     sync.Mutex
	turns  int
	tokens int
}

// turn sends a turn and counts the events that arrive, also of an answer that breaks off.
func (p *budgeted) turn(most, hint int) int {
	p.mu.Lock()
	p.turns++
	id := fmt.Sprintf("%s-t%d", p.program, p.turns)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	fronts := p.fronts()
	front := fronts[rand.IntN(len(fronts))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/talk/2f", bytes.NewReader([]byte(id)))
	if err != nil {
		return 0
	}
	req.Host = "chat.example"
	h := req.Header
	h.Set(headerPrefix+"Request-Id", id)
	h.Set(headerPrefix+"Program-Id", p.program)
	h.Set(headerPrefix+"Session-Id", id)
	h.Set(headerPrefix+"Program-Deadline-Ms", "60000")
	h.Set(headerPrefix+"Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	h.Set(headerPrefix+"Model", "m")
	h.Set(headerPrefix+"Token-Count", fmt.Sprintf("1460,%d", most))
	h.Set(headerPrefix+"Length-Hint", strconv.Itoa(hint))
	h.Set(headerPrefix+"Token-Budget", strconv.Itoa(overrunBudget))
	resp, err := client.Do(req)
	if err != nil {
		p.rec.say("%s of at most %d tokens: %v", id, most, err)
		return 0
	}
	defer resp.Body.Close()
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	p.mu.Lock()
	p.tokens += events * tokensPerEvent
	sum := p.tokens
	p.mu.Unlock()
	p.rec.say("%s of at most %d tokens: status %d, %d tokens, %d in all (%v)", id, most, resp.StatusCode, events*tokensPerEvent, sum, lines.Err())
	return resp.StatusCode
}
