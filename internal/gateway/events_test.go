package gateway

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/upstream"
)

// read returns the raw text and the data of each event, and the error that ended the stream.
func read(r io.Reader) (raw, data []string, err error) {
	reader := &eventReader{br: bufio.NewReaderSize(r, 16)}
	for {
		e, err := reader.next()
		if err != nil {
			return append(raw, string(e.raw)), data, err
		}
		raw, data = append(raw, string(e.raw)), append(data, string(e.data))
	}
}

// Guards against an event reader that changes bytes or misses data when a stream arrives in arbitrary chunks, or
// when a line is longer than the read buffer.
func TestEventsSplitAcrossReads(t *testing.T) {
	stream := "id: 1\ndata: one\n\n\nweight-versions: 3\r\nid: 2\r\ndata:two\r\ndata: more than a buffer holds\r\n\r\n: comment\n\n\n"
	for _, r := range []io.Reader{strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream)), iotest.HalfReader(strings.NewReader(stream))} {
		raw, data, err := read(r)
		must.Eq(t, io.EOF, err)
		must.Eq(t, stream, strings.Join(raw, ""))
		must.Eq(t, []string{"one", "two\nmore than a buffer holds", ""}, data)
	}
}

func TestTruncatedStreams(t *testing.T) {
	for _, stream := range []string{"id: 1", "id: 1\n", "id: 1\ndata: x\n", "id: 1\ndata: longer than the buffer", "id: 1\r\ndata: x\r\n\r", ": com"} {
		_, _, err := read(strings.NewReader(stream))
		must.ErrorIs(t, err, errTruncatedEvent)
		must.True(t, upstream.BrokenOff(err)) // the endpoint may have ended with the request
	}
	broken := errors.New("reset")
	_, _, err := read(io.MultiReader(strings.NewReader("id: 1\n\n"), iotest.ErrReader(broken)))
	must.ErrorIs(t, err, broken)
}

// Guards against an event without end that takes memory until the deadline of its request.
func TestEventsAreBounded(t *testing.T) {
	for _, text := range []string{"x", "\n", "data: x\n", ": x\n"} {
		endless := strings.NewReader(strings.Repeat(text, 2*maxEventBytes))
		_, _, err := read(io.MultiReader(strings.NewReader("id: 1\n\n"), endless))
		must.ErrorIs(t, err, bufio.ErrTooLong)
		must.Greater(t, maxEventBytes/2, endless.Len()) // most of it is not read
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: one\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		raw, _, err := read(strings.NewReader(stream))
		if !errors.Is(err, io.EOF) && !errors.Is(err, errTruncatedEvent) {
			t.Fatalf("unexpected end: %v", err)
		}
		if got := strings.Join(raw, ""); got != stream {
			t.Fatalf("%q became %q", stream, got)
		}
	})
}

func TestPrefixCacheIsBounded(t *testing.T) {
	c := newPrefixCache()
	big := make([]byte, prefixCacheBytes/2)
	for _, id := range []string{"1", "2", "3"} {
		c.put(id, big)
	}
	_, ok := c.get("1")
	must.False(t, ok)
	_, ok = c.get("3")
	must.True(t, ok)
	_, ok = c.get("")
	must.True(t, ok) // the text before the first turn is known to be empty
	c.prune(time.Now().Add(2 * prefixCacheAge))
	must.Eq(t, 0, c.bytes)
	must.MapLen(t, 0, c.byID)
}

func TestAffinity(t *testing.T) {
	a := newAffinity()
	program := "p"
	must.Nil(t, a.savings(program, []byte("text")))
	a.record(program, "e")
	must.MapContainsKey(t, a.savings(program, []byte("text")), "e")
	must.Nil(t, a.savings(program, nil))
	a.prune(time.Now().Add(2 * affinityTTL))
	must.Nil(t, a.savings(program, []byte("text")))
}
