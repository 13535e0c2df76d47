package gateway

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"ragwortstile/internal/memory"
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
// endpoints that send without end cannot exhaust the memory of the instance together. All bodies are in the account of
// the instance, but only the larger ones are refused: the request has been executed, and its response is small. It is
// safe for concurrent use.
type responseBuffers struct {
	limit   int64
	account *memory.Account
	used    atomic.Int64
}

func newResponseBuffers(memoryBytes int64, account *memory.Account) *responseBuffers {
	return &responseBuffers{limit: memoryBytes / responseMemoryFraction, account: account}
}

// read reads a body to its end. release must be called when the body is no longer used.
func (b *responseBuffers) read(body io.Reader) (data []byte, release func(), err error) {
	grant := b.account.Open(memory.Responses, time.Now(), nil)
	shared := int64(0)
	release = func() {
		grant.Release()
		b.used.Add(-shared)
		shared = 0
	}
	buf := &heldBuffer{grant: grant}
	buf.grow = func(n int64) error {
		if buf.len() < freeResponseBytes {
			grant.Force(n)
			return nil
		}
		shared += n
		if b.used.Add(n) > b.limit {
			return errResponseMemory
		}
		grant.Force(n) // bounded by the limit; unfinished bodies must not fail a request that has run
		return nil
	}
	defer buf.free()
	for {
		space, err := buf.space()
		if err != nil {
			return nil, release, err
		}
		n, err := body.Read(space)
		buf.wrote(n)
		switch {
		case buf.len() > maxResponseBytes:
			return nil, release, errResponseTooLarge
		case err == io.EOF:
			data, err = buf.bytes()
			return data, release, err
		case err != nil:
			return nil, release, err
		}
	}
}
