package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stuck is a reader of the log that takes nothing until it is released.
type stuck struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestBoundedWriterNeverBlocks(t *testing.T) {
	s := &stuck{}
	s.mu.Lock()
	w := NewBoundedWriter(s, 4)
	start := time.Now()
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.Less(t, time.Second, time.Since(start))
	must.Greater(t, 90, w.Dropped())
	s.mu.Unlock()
	w.Close()
	must.StrContains(t, s.buf.String(), "log lines dropped")
	must.LessEq(t, 6, strings.Count(s.buf.String(), "line\n"))
}

// Connections that end with the process still write lines when the log has been closed. Found by the soak:
// every process ended with a panic after its planned stop.
func TestBoundedWriterTakesLinesAfterItsEnd(t *testing.T) {
	var out bytes.Buffer
	b := NewBoundedWriter(&out, 8)
	_, err := b.Write([]byte("first\n"))
	must.NoError(t, err)
	b.Close()
	_, err = b.Write([]byte("late\n"))
	must.NoError(t, err)
	must.Eq(t, "first\n", out.String())
}
