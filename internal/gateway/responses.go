package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxResponseBytes bounds the responses that are buffered to be checked before the caller gets them.
	maxResponseBytes = 8 << 20
	// freeResponseBytes is the size up to which a response does not count against the shared limit.
	freeResponseBytes = 64 << 10
	// responseMemoryFraction is the fraction of the process's memory that all larger responses share.
	responseMemoryFraction = 8
)

var (
	errResponseTooLarge = fmt.Errorf("response over %d bytes", maxResponseBytes)
	errResponseMemory   = errors.New("no memory for a large response")
)

// responseBuffers reads response bodies into memory. The bodies over freeResponseBytes share a limit, so that
// endpoints that send without end cannot exhaust the memory of the instance together. It is safe for concurrent
// use.
type responseBuffers struct {
	limit int64
	used  atomic.Int64
}

func newResponseBuffers(memoryBytes int64) *responseBuffers {
	return &responseBuffers{limit: memoryBytes / responseMemoryFraction}
}

// read reads a body to its end. release must be called when the body is no longer used.
func (b *responseBuffers) read(body io.Reader) (data []byte, release func(), err error) {
	var buf bytes.Buffer
	reserved := int64(0)
	release = func() { b.used.Add(-reserved) }
	for chunk := int64(freeResponseBytes); ; chunk = int64(buf.Len()) {
		n, err := buf.ReadFrom(io.LimitReader(body, chunk))
		switch {
		case err != nil:
			return nil, release, err
		case n < chunk:
			return buf.Bytes(), release, nil
		case buf.Len() > maxResponseBytes:
			return nil, release, errResponseTooLarge
		}
		// Growing to twice the size takes the old and the new buffer for a moment.
		more := 3*int64(buf.Len()) - reserved
		reserved += more
		if b.used.Add(more) > b.limit {
			return nil, release, errResponseMemory
		}
	}
}
