package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// header returns the name of a header of the platform.
func header(name string) string { return "X-Ragwortstile" + "-" + name }

const (
	turnTimeout = 3 * time.Second
	// Callers wait for a connection no longer than connectTimeout.
	connectTimeout = time.Second
	// turnRetries is how often a turn that has failed is sent again, after minTurnPause to maxTurnPause.
	turnRetries  = 2
	minTurnPause = 100 * time.Millisecond
	maxTurnPause = 400 * time.Millisecond
	// attemptRetries is how often a caller repeats an attempt that was refused as not run.
	attemptRetries = 1
)

// agent is a program and the caller that runs it.
type agent struct {
	c      *cluster
	id     string
	budget int
	quiet  bool // not recorded

	turns  atomic.Int64
	mu     sync.Mutex
	tokens int // of all events that were handed out, in all attempts
	// continued holds the IDs of the attempts at turns that continue another one.
	continued []string
}

// turn is what a program asks of a turn.
type turn struct {
	previous  string
	maxTokens int
	hint      int
	input     string
}

// result is how an attempt, or a turn, ended.
type result struct {
	id       string
	status   int // 0: no answer
	complete bool
	events   int
	unread   bool // the connection was not accepted
	after    time.Duration
}

// nextID returns a new ID of an attempt.
func nextID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// run sends a turn until it is answered whole, is refused for good or has failed too often.
func (a *agent) run(name string, t turn) result {
	var r result
	for try := 0; try <= turnRetries; try++ {
		if try > 0 {
			time.Sleep(minTurnPause + rand.N(maxTurnPause-minTurnPause))
		}
		r = a.tryTurn(name, t)
		if r.complete && (r.status == http.StatusOK || r.status/100 == 4 && r.status != http.StatusTooManyRequests) {
			return r
		}
	}
	return r
}

// tryTurn sends a turn with the attempts of its caller, each at another instance: a stream is sent again only after a
// promise that it has not run, or if it was not read.
func (a *agent) tryTurn(name string, t turn) result {
	begun := time.Now()
	in := rand.N(len(a.c.instances))
	var r result
	for try := 0; try <= attemptRetries; try++ {
		left := turnTimeout - time.Since(begun)
		if left <= 0 {
			break
		}
		r = a.attempt(a.c.instances[(in+try)%len(a.c.instances)], name, t, left)
		if !r.unread && !(r.complete && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests)) {
			break
		}
		time.Sleep(min(r.after, (turnTimeout-time.Since(begun))/3))
	}
	return r
}

// attempt sends one attempt and counts the events that it brings.
func (a *agent) attempt(in *instance, name string, t turn, left time.Duration) result {
	r := result{id: nextID()}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.front+"/turns/2f", strings.NewReader(t.input))
	if err != nil {
		panic(err) // the address is the case's own
	}
	req.Host = hostname
	for name, value := range map[string]string{
		"Request-Id": r.id, "Program-Id": a.id, "Session-Id": name, "Program-Deadline-Ms": "60000", "Model": "m",
		"Token-Budget": strconv.Itoa(a.budget), "Token-Count": fmt.Sprintf("100,%d", t.maxTokens),
		"Length-Hint": strconv.Itoa(t.hint), "Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10),
	} {
		req.Header.Set(header(name), value)
	}
	if t.previous != "" {
		req.Header.Set(header("Previous-Turn"), t.previous)
		a.mu.Lock()
		a.continued = append(a.continued, r.id)
		a.mu.Unlock()
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}}
	a.printf("%s: %s sends %s to %s, at most %d tokens, previous turn %q", a.id, name, r.id, in.name, t.maxTokens, t.previous)
	resp, err := client.Do(req)
	if err != nil {
		var op *net.OpError
		r.unread = asDialError(err, &op)
		a.printf("%s: %s gets no answer to %s: %v", a.id, name, r.id, err)
		return r
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.after = time.Duration(seconds * float64(time.Second))
	}
	r.events, err = countEvents(resp.Body)
	r.complete = err == nil
	a.mu.Lock()
	a.tokens += r.events * tokensPerEvent
	total := a.tokens
	a.mu.Unlock()
	a.printf("%s: %s gets %d to %s, %d events, whole %t (%v); tokens of the program so far: %d", a.id, name, r.status, r.id, r.events, r.complete, err, total)
	return r
}

// countEvents reads a stream to its end and returns the number of whole events.
func countEvents(body io.Reader) (int, error) {
	events, data := 0, false
	br := bufio.NewReader(body)
	for {
		line, err := br.ReadString('\n')
		switch {
		case err == io.EOF:
			return events, nil
		case err != nil:
			return events, err
		case strings.HasPrefix(line, "data:"):
			data = true
		case line == "\n" && data:
			events++
			data = false
		}
	}
}

func (a *agent) printf(format string, args ...any) {
	if !a.quiet {
		a.c.t.printf(format, args...)
	}
}

func (a *agent) total() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens
}
