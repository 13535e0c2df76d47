package peer

import (
	"sync/atomic"
	"time"

	"ragwortstile/internal/wire"
)

// ByteCounts counts whole frames after the handshake.
type ByteCounts struct {
	ControlIn  uint64
	ControlOut uint64
	PayloadIn  uint64
	PayloadOut uint64
}

type counters struct {
	codec                                        atomic.Int64 // ns
	controlIn, controlOut, payloadIn, payloadOut atomic.Uint64
}

func (c *counters) in(k wire.Kind, size int) {
	if k.Payload() {
		c.payloadIn.Add(uint64(size))
		return
	}
	c.controlIn.Add(uint64(size))
}

func (c *counters) out(k wire.Kind, size int) {
	if k.Payload() {
		c.payloadOut.Add(uint64(size))
		return
	}
	c.controlOut.Add(uint64(size))
}

func (c *counters) read() ByteCounts {
	return ByteCounts{
		ControlIn:  c.controlIn.Load(),
		ControlOut: c.controlOut.Load(),
		PayloadIn:  c.payloadIn.Load(),
		PayloadOut: c.payloadOut.Load(),
	}
}

// kindOffset is the place of the kind in an encoded frame.
const kindOffset = 5

func frameKind(data []byte) wire.Kind { return wire.Kind(data[kindOffset]) }

// encode is wire.Encode with its time counted.
func (c *counters) encode(e wire.Envelope) ([]byte, error) {
	start := time.Now()
	data, err := wire.Encode(e)
	c.codec.Add(int64(time.Since(start)))
	return data, err
}

// decode is wire.Decode with its time counted.
func (c *counters) decode(f wire.Frame) (wire.Envelope, error) {
	start := time.Now()
	e, err := wire.Decode(f)
	c.codec.Add(int64(time.Since(start)))
	return e, err
}

// CodecTime returns the time that encoding and decoding of frames has taken. It is wall time: an
// upper bound of the processor time, above it while the machine is overcommitted.
func (n *Node) CodecTime() time.Duration { return time.Duration(n.bytes.codec.Load()) }
