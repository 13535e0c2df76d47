package server

import (
	"context"
	"errors"
	"sync"

	"ragwortstile/internal/api"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/program"
	"ragwortstile/internal/wire"
)

// maxChunkBytes bounds the data that is joined into one chunk, so that a large answer does not delay
// control messages on the same connection for long.
const maxChunkBytes = 256 << 10

// maxPendingChunkBytes bounds the data of an answer that waits to be sent to the instance that the
// caller is connected to.
const maxPendingChunkBytes = api.MaxPendingBytes

var errSlowReceiver = errors.New("the receiving instance reads the answer too slowly")

// chunkSink is an api.Sink that queues the answers for sending to another instance as chunks.
type chunkSink struct {
	mu      sync.Mutex
	queue   []wire.Chunk
	pending int
	wake    chan struct{}
}

func newChunkSink() *chunkSink { return &chunkSink{wake: make(chan struct{}, 1)} }

func (s *chunkSink) put(c wire.Chunk) {
	s.mu.Lock()
	if c.Data != nil {
		s.pending += len(c.Data.Data)
	}
	s.queue = append(s.queue, c)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Reply implements api.Sink.
func (s *chunkSink) Reply(r program.Reply) { s.put(wire.Chunk{Reply: &r}) }

// StreamData implements api.Sink.
func (s *chunkSink) StreamData(d program.StreamData) { s.put(wire.Chunk{Data: &d}) }

// StreamEnd implements api.Sink.
func (s *chunkSink) StreamEnd(e program.StreamEnd) { s.put(wire.Chunk{End: &e}) }

// take removes the queued chunks and returns them, with adjacent data joined.
func (s *chunkSink) take() ([]wire.Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending > maxPendingChunkBytes {
		return nil, errSlowReceiver
	}
	queue := s.queue
	s.queue, s.pending = nil, 0
	return joinChunks(queue), nil
}

// joinChunks joins data at consecutive offsets, so that a burst of tokens is sent in one frame.
func joinChunks(in []wire.Chunk) []wire.Chunk {
	var out []wire.Chunk
	for _, c := range in {
		if n := len(out); n > 0 && c.Data != nil && out[n-1].Data != nil && canJoin(*out[n-1].Data, *c.Data) {
			joined := *out[n-1].Data
			joined.Data = append(joined.Data[:len(joined.Data):len(joined.Data)], c.Data.Data...)
			out[n-1].Data = &joined
			continue
		}
		out = append(out, c)
	}
	return out
}

func canJoin(a, b program.StreamData) bool {
	return a.Offset+int64(len(a.Data)) == b.Offset && len(a.Data)+len(b.Data) <= maxChunkBytes
}

// send sends the answers to the requester, up to and including the last one.
func (s *chunkSink) send(ctx context.Context, r *peer.Replier) error {
	for {
		chunks, err := s.take()
		if err != nil {
			return err
		}
		for _, c := range chunks {
			if c.Data == nil {
				return r.SendLast(ctx, c)
			}
			if err := r.Send(ctx, c); err != nil {
				return err
			}
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
