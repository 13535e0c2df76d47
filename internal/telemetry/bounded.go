package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// dropNotice is the time between lines that tell how many lines were dropped.
const dropNotice = time.Second

// BoundedWriter passes lines on in a goroutine of its own, so that a slow reader of the log holds up
// nothing. When its queue is full, lines are dropped and counted.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer with room for a number of lines.
func NewBoundedWriter(w io.Writer, lines int) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, lines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write implements io.Writer. It never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	own := append([]byte(nil), line...)
	select {
	case b.lines <- own:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is queued. Lines that come later, from connections that end with the process, are
// dropped.
func (b *BoundedWriter) Close() {
	close(b.closing)
	<-b.done
}

// Dropped returns the number of lines that were dropped.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.done)
	told, next := int64(0), time.Now()
	for {
		select {
		case line := <-b.lines:
			// The log has nowhere to report that it cannot be written.
			_, _ = w.Write(line)
		case <-b.closing:
			b.flush(w)
			b.tellDropped(w, told)
			return
		}
		if time.Now().Before(next) {
			continue
		}
		if n := b.tellDropped(w, told); n > told {
			told, next = n, time.Now().Add(dropNotice)
		}
	}
}

// tellDropped writes how many lines were dropped since it told so last, and returns how many were in all.
func (b *BoundedWriter) tellDropped(w io.Writer, told int64) int64 {
	n := b.dropped.Load()
	if n > told {
		_, _ = fmt.Fprintf(w, "level=warning msg=\"log lines dropped\" count=%d\n", n-told) // as above
	}
	return n
}

// flush writes what is queued now.
func (b *BoundedWriter) flush(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line) // as above
		default:
			return
		}
	}
}
