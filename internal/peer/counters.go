package peer

import (
	"sync/atomic"

	"ragwortstile/internal/wire"
)

// Bytes counts whole frames after the handshake.
type Bytes struct {
	ControlIn  uint64
	ControlOut uint64
	PayloadIn  uint64
	PayloadOut uint64
}

type counters struct {
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

func (c *counters) read() Bytes {
	return Bytes{
		ControlIn:  c.controlIn.Load(),
		ControlOut: c.controlOut.Load(),
		PayloadIn:  c.payloadIn.Load(),
		PayloadOut: c.payloadOut.Load(),
	}
}

// kindOffset is the place of the kind in an encoded frame.
const kindOffset = 5

func frameKind(data []byte) wire.Kind { return wire.Kind(data[kindOffset]) }
