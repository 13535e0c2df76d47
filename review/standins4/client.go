package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, path, body string
	deadline           time.Duration
	header             map[string]string
}

// answer is what the client got.
type answer struct {
	id       string
	status   int // 0: none
	events   int
	complete bool
	sent     time.Time
	took     time.Duration
	err      error
	retry    string
}

// clientTransport opens a connection for each attempt.
var clientTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send sends an attempt to an instance and reads the answer to its end. onEvent is called for each event of a stream.
func (r *rig) send(i *instance, q request, onEvent func()) answer {
	a := answer{id: r.newID(), sent: time.Now()}
	defer func() {
		text := fmt.Sprintf("client got %d for %s %s sent to %s at %d ms", a.status, a.id, q.path, i.name, a.sent.Sub(r.began).Milliseconds())
		if a.events > 0 {
			text += fmt.Sprintf(", %d events", a.events)
		}
		if !a.complete {
			text += fmt.Sprintf(", incomplete: %v", a.err)
		}
		r.note("%s", text)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, fmt.Sprintf("http://%s:%d%s", i.ip, frontPort, q.path), strings.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set(headerID, a.id)
	req.Header.Set(headerDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	resp, err := clientTransport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.retry = resp.StatusCode, resp.Header.Get("Retry-After")
	if resp.Header.Get("Content-Type") != headerEventStop {
		_, a.err = io.Copy(io.Discard, resp.Body)
		a.complete, a.took = a.err == nil, time.Since(a.sent)
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			a.events++
			if onEvent != nil {
				onEvent()
			}
		}
	}
	a.err = lines.Err()
	a.complete, a.took = a.err == nil, time.Since(a.sent)
	return a
}
