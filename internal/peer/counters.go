package peer

import (
	"sync/atomic"
	"time"

	"ragwortstile/internal/wire"
)

// ByteCounts is the number of bytes received (In) and sent (Out) in control and payload frames, frame
// headers included. Frames of the handshake are not counted.
type ByteCounts struct {
	ControlIn  uint64
	ControlOut uint64
	PayloadIn  uint64
	PayloadOut uint64
}

type counters struct {
	codecNanos                                   atomic.Int64
	controlIn, controlOut, payloadIn, payloadOut atomic.Uint64
}

func (c *counters) addReceived(k wire.Kind, size int) {
	if k.Payload() {
		c.payloadIn.Add(uint64(size))
		return
	}
	c.controlIn.Add(uint64(size))
}

func (c *counters) addSent(k wire.Kind, size int) {
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

// kindOffset is the offset of the kind byte in an encoded frame.
const kindOffset = 5

func frameKind(data []byte) wire.Kind { return wire.Kind(data[kindOffset]) }

// encode calls wire.Encode and adds its duration to codecNanos.
func (c *counters) encode(e wire.Envelope) ([]byte, error) {
	start := time.Now()
	data, err := wire.Encode(e)
	c.codecNanos.Add(int64(time.Since(start)))
	return data, err
}

// decode calls wire.Decode and adds its duration to codecNanos.
func (c *counters) decode(f wire.Frame) (wire.Envelope, error) {
	start := time.Now()
	e, err := wire.Decode(f)
	c.codecNanos.Add(int64(time.Since(start)))
	return e, err
}

// CodecTime returns the total time spent on encoding and decoding frames. It is wall time, which is an
// upper bound of the CPU time and exceeds it while the machine is overcommitted.
func (n *Node) CodecTime() time.Duration { return time.Duration(n.counters.codecNanos.Load()) }
