package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// dropReportInterval is the minimum time between two lines that report the number of dropped lines.
const dropReportInterval = time.Second

// BoundedWriter queues log lines and writes them in its own goroutine, so that a slow reader of the log
// does not block the goroutines that log. When the queue is full, lines are dropped and counted.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer to w with a queue of the given number of lines and starts its goroutine.
func NewBoundedWriter(w io.Writer, lines int) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, lines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write implements io.Writer. It never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	buf := append([]byte(nil), line...)
	select {
	case b.lines <- buf:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine. Write may still be called afterwards: connections
// that end with the process still log. Such lines are not written.
func (b *BoundedWriter) Close() {
	close(b.closing)
	<-b.done
}

// Dropped returns the number of lines dropped because the queue was full.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.done)
	reported, next := int64(0), time.Now()
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line) // there is no other place to report a failure of the log
		case <-b.closing:
			b.flush(w)
			b.reportDropped(w, reported)
			return
		}
		if time.Now().Before(next) {
			continue
		}
		if n := b.reportDropped(w, reported); n > reported {
			reported, next = n, time.Now().Add(dropReportInterval)
		}
	}
}

// reportDropped writes how many lines were dropped since the last report, if any. reported is the total at
// that report. It returns the new total.
func (b *BoundedWriter) reportDropped(w io.Writer, reported int64) int64 {
	n := b.dropped.Load()
	if n > reported {
		_, _ = fmt.Fprintf(w, "level=warning msg=\"log lines dropped\" count=%d\n", n-reported) // errors ignored, see run
	}
	return n
}

// flush writes all lines that are in the queue.
func (b *BoundedWriter) flush(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line) // errors ignored, see run
		default:
			return
		}
	}
}
