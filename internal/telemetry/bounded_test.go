package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// blockedWriter is an output whose Write blocks while the test holds mu.
type blockedWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against an output that does not accept data and thereby blocks the goroutines that log, and against
// dropped lines that are not reported.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{}
	out.mu.Lock()
	w := NewBoundedWriter(out, 4)
	start := time.Now()
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.Less(t, time.Second, time.Since(start))
	must.Greater(t, 90, w.Dropped())
	out.mu.Unlock()
	w.Close()
	must.StrContains(t, out.buf.String(), "log lines dropped")
	must.LessEq(t, 6, strings.Count(out.buf.String(), "line\n"))
}

// Guards against a panic at the end of every planned stop: connections that end with the process still
// write lines after the log has been closed.
func TestBoundedWriterAcceptsLinesAfterClose(t *testing.T) {
	var out bytes.Buffer
	b := NewBoundedWriter(&out, 8)
	_, err := b.Write([]byte("first\n"))
	must.NoError(t, err)
	b.Close()
	_, err = b.Write([]byte("late\n"))
	must.NoError(t, err)
	must.Eq(t, "first\n", out.String())
}
