package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/memory"
)

const (
	// firstBufferBytes is the size of the first buffer of a body, and chunkBytes that of the parts in which a larger one
	// grows. A body takes memory for what has arrived, whatever its caller announced.
	firstBufferBytes = 4 << 10
	chunkBytes       = 64 << 10
	// memoryWait is how long a request waits for memory, in all its steps together, before it is refused. Bodies in
	// progress end, or are given up, in that time. Without a bound on the sum, bodies that get a chunk at a time hold
	// each other up.
	memoryWait = 500 * time.Millisecond
	// lingerTime and lingerBytes bound what is read of a body after its request was refused. Closing a connection with
	// unread bytes resets it, and the caller could lose the response.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
	// memoryRetryAfter is the Retry-After of requests refused for memory.
	memoryRetryAfter = 200 * time.Millisecond
)

// Reasons of refusals of the hold stage.
const (
	reasonNoMemory = "no_memory"
	reasonSlowBody = "body_too_slow"
)

var errNoMemory = errors.New("no memory for the request")

// chunkPool keeps chunks from becoming garbage, which counts as memory until the next collection.
var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// heldBuffer collects bytes whose memory is granted before it is used. Up to chunkBytes it is one slice, which grows by
// doubling. A longer one is a list of chunks, which are joined at the end.
type heldBuffer struct {
	grant  *memory.Grant
	grow   func(n int64) error // gets n more bytes for the grant
	first  []byte
	chunks []*[chunkBytes]byte
	size   int // bytes in chunks
}

// space returns room for at least one more byte.
func (b *heldBuffer) space() ([]byte, error) {
	switch n := cap(b.first); {
	case len(b.chunks) > 0 && b.size < len(b.chunks)*chunkBytes:
		return b.chunks[len(b.chunks)-1][b.size%chunkBytes:], nil
	case len(b.chunks) == 0 && len(b.first) < n:
		return b.first[len(b.first):n], nil
	case n < chunkBytes:
		larger := max(2*n, firstBufferBytes)
		if err := b.grow(int64(larger)); err != nil {
			return nil, err
		}
		b.first = append(make([]byte, 0, larger), b.first...)
		b.grant.Shrink(int64(n))
		return b.first[len(b.first):larger], nil
	}
	if err := b.grow(chunkBytes); err != nil {
		return nil, err
	}
	b.chunks = append(b.chunks, chunkPool.Get().(*[chunkBytes]byte))
	return b.chunks[len(b.chunks)-1][:], nil
}

// wrote notes that n bytes of the last space have been filled.
func (b *heldBuffer) wrote(n int) {
	if len(b.chunks) > 0 {
		b.size += n
	} else {
		b.first = b.first[:len(b.first)+n]
	}
}

func (b *heldBuffer) len() int64 { return int64(len(b.first) + b.size) }

// bytes returns the content as one slice. Each chunk is given back as soon as it has been copied.
func (b *heldBuffer) bytes() ([]byte, error) {
	if len(b.chunks) == 0 {
		return b.first, nil
	}
	n := b.len()
	if err := b.grow(n); err != nil {
		return nil, err
	}
	out := append(make([]byte, 0, n), b.first...)
	b.grant.Shrink(int64(cap(b.first)))
	b.first = nil
	for i, c := range b.chunks {
		out = append(out, c[:min(chunkBytes, b.size-i*chunkBytes)]...)
	}
	b.free()
	return out, nil
}

// free gives the chunks back.
func (b *heldBuffer) free() {
	for _, c := range b.chunks {
		chunkPool.Put(c)
	}
	b.grant.Shrink(int64(len(b.chunks)) * chunkBytes)
	b.chunks, b.size = nil, 0
}

// hold reads the body of the request into memory.
func (q *request) hold() *rejection {
	limit := q.limits.BodyBytes
	if q.r.ContentLength > limit {
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge, unread: true}
	}
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(q.w)
	q.grant = q.g.account.Open(memory.Reading, time.Now(), func() {
		// The read in progress fails. An error means that the connection is closed already.
		_ = control.SetReadDeadline(time.Now())
	})
	body := &heldBuffer{grant: q.grant, grow: q.growBody}
	defer body.free()
	rejected := q.readBody(body, limit, control)
	if rejected == nil {
		var err error
		if q.body, err = body.bytes(); err != nil {
			rejected = q.noMemory()
		}
	}
	if rejected == nil && !q.grant.Keep(memory.Waiting) {
		rejected = q.noMemory()
	}
	if rejected != nil {
		q.body = nil
		return rejected
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		q.log.WithField("reason", err.Error()).Info("read deadline of the caller's connection not removed")
	}
	return nil
}

// readBody reads the body as long as its caller makes progress.
func (q *request) readBody(body *heldBuffer, limit int64, control *http.ResponseController) *rejection {
	begun := time.Now()
	last := begun
	for {
		space, err := body.space()
		if err != nil {
			return q.noMemory()
		}
		slowAt := memory.SlowAt(begun, last, body.len())
		if q.deadline.Before(slowAt) {
			slowAt = q.deadline
		}
		if err := control.SetReadDeadline(slowAt); err != nil {
			q.log.WithField("reason", err.Error()).Info("read deadline of the caller's connection not set")
		}
		if q.grant.Revoked() { // checked after the deadline is set, which may have replaced that of the revocation
			return q.noMemory()
		}
		n, err := q.r.Body.Read(space)
		body.wrote(n)
		if n > 0 {
			last = time.Now()
			q.grant.Progress(int64(n), last)
		}
		switch {
		case body.len() > limit:
			return &rejection{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge, unread: true}
		case err == io.EOF:
			return nil
		case err == nil:
		case q.grant.Revoked():
			return q.noMemory()
		case errors.Is(err, os.ErrDeadlineExceeded):
			q.g.metrics.slowCaller("body")
			rejected := unavailable(reasonSlowBody, minRetryAfter)
			rejected.unread = true
			return rejected
		default:
			return &rejection{status: http.StatusBadRequest, reason: reasonBadBody, unread: true}
		}
	}
}

// noMemory returns the rejection of a request that cannot be held.
func (q *request) noMemory() *rejection {
	rejected := unavailable(reasonNoMemory, memoryRetryAfter)
	rejected.unread = true
	return rejected
}

// growBody gets n more bytes for the body, and waits for them for a moment.
func (q *request) growBody(n int64) error {
	wait := q.grant.Grow(n, time.Now())
	if wait == nil {
		return nil
	}
	begun := time.Now()
	defer func() { q.memoryWaited += time.Since(begun) }()
	timer := time.NewTimer(min(memoryWait-q.memoryWaited, time.Until(q.deadline)))
	defer timer.Stop()
	select {
	case <-wait.Granted():
		return nil
	case <-timer.C:
	case <-q.r.Context().Done():
	}
	if !q.g.account.Cancel(wait) {
		return nil
	}
	return errNoMemory
}

// linger lets the caller of a refused request get the response although it is still sending its body. The response is
// sent, then the body is read on for a bounded time and amount.
func (q *request) linger() {
	control := http.NewResponseController(q.w)
	if err := control.Flush(); err != nil {
		q.log.WithField("reason", err.Error()).Info("refusal not sent")
		return
	}
	if err := control.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		q.log.WithField("reason", err.Error()).Info("body of a refused request not read on")
		return
	}
	// The amount and the error tell nothing: the connection is closed in any case.
	if n, err := io.CopyN(io.Discard, q.r.Body, lingerBytes); err != nil && err != io.EOF {
		q.log.WithFields(logrus.Fields{"bytes": n, "reason": err.Error()}).Debug("body of a refused request not read on")
	}
}

// boundUnreadBody bounds the time for which the server waits for the body of a request that was refused before its body
// was read. The server reads short ones to their end, so that the connection can be used again.
func (q *request) boundUnreadBody() {
	if err := http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		q.log.WithField("reason", err.Error()).Info("read deadline of the caller's connection not set")
	}
}

// release returns the memory of the request.
func (q *request) release() {
	if q.grant != nil {
		q.grant.Release()
	}
}
