package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Headers of the platform.
const (
	headerPrefix     = "X-Ragwortstile"
	headerRequestID  = headerPrefix + "-Request-Id"
	headerDeadline   = headerPrefix + "-Deadline-Ms"
	headerProgram    = headerPrefix + "-Program-Id"
	headerSession    = headerPrefix + "-Session-Id"
	headerTokenCount = headerPrefix + "-Token-Count"
	headerBudget     = headerPrefix + "-Token-Budget"
	headerPrevious   = headerPrefix + "-Previous-Turn"
	headerHint       = headerPrefix + "-Length-Hint"
)

// call is a request of a client.
type call struct {
	method   string
	path     string
	body     string
	deadline time.Duration
	program  string
	session  string
	previous string // turn that this one continues
	budget   int    // tokens; 0: the request carries none
	maxOut   int    // most tokens that the turn generates
	hint     int    // tokens that the client expects; 0: not given
	onEvent  func() // called for each event that arrives; may be nil
}

// result is what the client has seen of a request.
type result struct {
	id         string
	status     int // 0 if there was no answer
	events     int
	complete   bool // the answer has arrived to its end
	retryAfter time.Duration
	err        error
}

var lastID atomic.Int64

// client opens a new connection for each request, as after a failure. Opening one may take a second.
var client = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}}

// send sends a request to an instance and reads its answer.
func (c *cluster) send(ctx context.Context, g *gateway, q call) result {
	r := result{id: fmt.Sprintf("%016x", 0xa000000000000000+uint64(lastID.Add(1)))}
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, fmt.Sprintf("http://%s:%d%s", g.host, frontPort, q.path), strings.NewReader(q.body))
	if err != nil {
		r.err = err
		return r
	}
	req.Host = hostname
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set(headerRequestID, r.id)
	set(headerDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	set(headerProgram, q.program)
	set(headerSession, q.session)
	set(headerPrevious, q.previous)
	if q.budget > 0 {
		set(headerBudget, strconv.Itoa(q.budget))
	}
	if q.maxOut > 0 {
		set(headerTokenCount, fmt.Sprintf("100,%d", q.maxOut))
	}
	if q.hint > 0 {
		set(headerHint, strconv.Itoa(q.hint))
	}
	c.rec.add("client sends %s %s %s to %s: program %q, previous turn %q, budget %d, at most %d tokens", r.id, q.method, q.path, g.name, q.program, q.previous, q.budget, q.maxOut)
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		c.rec.add("client gets no answer to %s: %s", r.id, err)
		return r
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(s * float64(time.Second))
	}
	r.events, r.err = readEvents(resp.Body, q.onEvent)
	r.complete = r.err == nil
	c.rec.add("client gets %d for %s: %d events, complete %t, retry after %s", r.status, r.id, r.events, r.complete, r.retryAfter)
	return r
}

// readEvents counts the events of a stream up to its end.
func readEvents(body io.Reader, onEvent func()) (events int, err error) {
	in := bufio.NewReader(body)
	for {
		line, err := in.ReadString('\n')
		if strings.HasPrefix(line, "data:") && err == nil {
			events++
			if onEvent != nil {
				onEvent()
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return events, nil
		case err != nil:
			return events, err
		}
	}
}
