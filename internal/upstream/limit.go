package upstream

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Limits of a response head. An endpoint in trouble may send bytes without end that never form a head.
const (
	// maxHeadBytes bounds the bytes read for one head. Heads of endpoints are under 1 KB.
	maxHeadBytes = 32 << 10
	// maxHeadDuration bounds the time from the first bytes of a head to its end. The wait for the first bytes,
	// during which the endpoint works, is bounded by the request's deadline alone.
	maxHeadDuration = time.Second
	// maxErrorText bounds the text of an error that may quote what an endpoint sent.
	maxErrorText = 80
)

var errHeadTooLong = fmt.Errorf("over %d bytes", maxHeadBytes)

// headLimiter reads from a connection and bounds the bytes and the duration of a response head, from begin to
// end. Outside of heads it passes everything through.
type headLimiter struct {
	conn   net.Conn
	inHead bool
	left   int  // bytes that the head may still take
	timed  bool // the read deadline of the connection is set
}

func (l *headLimiter) begin() { l.inHead, l.left = true, maxHeadBytes }

func (l *headLimiter) end() {
	l.inHead = false
	if l.timed {
		l.timed = false
		// Fails only on a closed connection, on which the next read fails too.
		_ = l.conn.SetReadDeadline(time.Time{})
	}
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.conn.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	if l.left < maxHeadBytes && !l.timed { // the head has begun, but is incomplete
		l.timed = true
		if err := l.conn.SetReadDeadline(time.Now().Add(maxHeadDuration)); err != nil {
			return 0, err
		}
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// shortError is an error with a shortened text.
type shortError struct {
	err  error
	text string
}

func (e *shortError) Error() string { return e.text }

func (e *shortError) Unwrap() error { return e.err }

// shorten limits the text of an error to maxErrorText bytes. Errors of net/http quote the line that they reject.
func shorten(err error) error {
	text := err.Error()
	var short *shortError
	if len(text) <= maxErrorText || errors.As(err, &short) {
		return err
	}
	return &shortError{err: err, text: text[:maxErrorText] + "..."}
}
