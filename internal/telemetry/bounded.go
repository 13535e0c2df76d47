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
	done    chan struct{}
}

// NewBoundedWriter returns a writer with room for a number of lines.
func NewBoundedWriter(w io.Writer, lines int) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, lines), done: make(chan struct{})}
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

// Close writes what is queued. Nothing may be written after it.
func (b *BoundedWriter) Close() {
	close(b.lines)
	<-b.done
}

// Dropped returns the number of lines that were dropped.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.done)
	told, next := int64(0), time.Now()
	for line := range b.lines {
		// The log has nowhere to report that it cannot be written.
		_, _ = w.Write(line)
		if n := b.dropped.Load(); n > told && time.Now().After(next) {
			_, _ = fmt.Fprintf(w, "level=warning msg=\"log lines dropped\" count=%d\n", n-told)
			told, next = n, time.Now().Add(dropNotice)
		}
	}
}
