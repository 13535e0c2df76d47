package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line for each event with the seconds since the start.
type record struct {
	start time.Time

	mu  sync.Mutex
	out io.Writer
}

func newRecord(out io.Writer) *record { return &record{start: time.Now(), out: out} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
