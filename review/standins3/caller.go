package main

import (
	"bytes"
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

// headerPrefix begins the names of the platform's headers.
const headerPrefix = "X-Ragwort" + "stile-"

// outcome is how a client attempt ended.
type outcome struct {
	at         float64 // when it was sent, in seconds of the record
	program    string
	id         string
	previous   string
	front      string
	status     int    // 0 without an answer
	complete   bool   // the answer is a success with its stamp and its end
	retryAfter string // of a refusal
	err        string
	took       time.Duration
}

// callers sends the turns of programs, as the platform's clients do.
type callers struct {
	rec    *record
	host   string // of the route
	path   string
	fronts func() []string // of the instances that get new connections
	budget int
	tokens string // tokens in, most tokens out
	input  int    // bytes of a turn
	turns  int    // of a program
	think  time.Duration

	ids     atomic.Int64
	mu      sync.Mutex
	done    []outcome
	runSeed string
}

func (c *callers) nextID(kind string) string {
	return fmt.Sprintf("%s%s%06d", kind, c.runSeed, c.ids.Add(1))
}

// client opens a new connection for each attempt.
var client = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true, DisableCompression: true,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}}

const deadline = 3 * time.Second

// attempt sends one client attempt of a turn.
func (c *callers) attempt(ctx context.Context, front, program, session, previous string, body []byte) outcome {
	o := outcome{at: c.rec.since(), program: program, id: c.nextID("t"), previous: previous, front: front}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	begun := time.Now()
	defer func() {
		o.took = time.Since(begun)
		c.mu.Lock()
		c.done = append(c.done, o)
		c.mu.Unlock()
		how := "broken off"
		switch {
		case o.complete:
			how = "whole"
		case o.status != 0 && o.err == "":
			how = "answered"
		case o.status == 0:
			how = "no answer"
		}
		c.rec.logf("%s of %s after %q, %d B sent at %.3f to %s: %d %s", o.id, program, previous, len(body), o.at, front, o.status, how)
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+c.path, bytes.NewReader(body))
	if err != nil {
		o.err = err.Error()
		return o
	}
	req.Host = c.host
	h := req.Header
	h.Set(headerPrefix+"Request-Id", o.id)
	h.Set(headerPrefix+"Program-Id", program)
	h.Set(headerPrefix+"Session-Id", session)
	h.Set(headerPrefix+"Program-Deadline-Ms", "20000")
	h.Set(headerPrefix+"Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	h.Set(headerPrefix+"Model", "m")
	h.Set(headerPrefix+"Token-Count", c.tokens)
	h.Set(headerPrefix+"Token-Budget", strconv.Itoa(c.budget))
	if previous != "" {
		h.Set(headerPrefix+"Previous-Turn", previous)
	}
	resp, err := client.Do(req)
	if err != nil {
		o.err = err.Error()
		return o
	}
	defer resp.Body.Close()
	o.status, o.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil {
		o.err = err.Error()
	}
	o.complete = err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get(headerPrefix+"Server-Stamp") != ""
	return o
}

func (c *callers) front() string {
	for {
		if fronts := c.fronts(); len(fronts) > 0 {
			return fronts[rand.IntN(len(fronts))]
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// turn sends a turn, once more after a refusal or a failed attempt, and up to twice again from its start.
func (c *callers) turn(ctx context.Context, program, session, previous string, body []byte) (id string, ok bool) {
	for try := 0; try < 3 && ctx.Err() == nil; try++ {
		for again := 0; again < 2 && ctx.Err() == nil; again++ {
			o := c.attempt(ctx, c.front(), program, session, previous, body)
			switch {
			case o.complete:
				return o.id, true
			case o.status == http.StatusNotFound || o.status == http.StatusPaymentRequired || o.status == http.StatusRequestEntityTooLarge:
				return "", false
			case o.status != http.StatusServiceUnavailable && o.status != http.StatusTooManyRequests:
				again = 2
			default:
				seconds, err := strconv.ParseFloat(o.retryAfter, 64)
				if err != nil {
					seconds = 0.1
				}
				time.Sleep(time.Duration(seconds * float64(time.Second)))
			}
		}
		time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
	}
	return "", false
}

// run runs one program after another until ctx is done.
func (c *callers) run(ctx context.Context) {
	for ctx.Err() == nil {
		program, session, previous := c.nextID("p"), c.nextID("s"), ""
		for n := 0; n < c.turns && ctx.Err() == nil; n++ {
			text := fmt.Sprintf("%s turn %d ", program, n)
			body := []byte(text + strings.Repeat("x", max(c.input-len(text), 0)))
			id, ok := c.turn(ctx, program, session, previous, body)
			if !ok {
				break
			}
			previous = id
			time.Sleep(rand.N(2 * c.think))
		}
	}
}

// served counts the attempts that were sent in a span of the record, and those of them that were served.
func (c *callers) served(from, to float64, only func(outcome) bool) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.done {
		if o.at < from || o.at >= to || only != nil && !only(o) {
			continue
		}
		sent++
		if o.complete {
			served++
		}
	}
	return sent, served
}
