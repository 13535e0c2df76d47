// Package wire defines the frames and messages that instances exchange.
//
// Encode turns an Envelope, which is a Message with its exchange ID and flags, into the bytes of a
// frame. ReadFrame reads a Frame from a connection and Decode turns it back into an Envelope.
//
// A frame is a 4-byte big-endian length, a 1-byte version, a 1-byte kind and a msgpack body. The
// length counts the version, the kind and the body. The body is a msgpack array of exchange ID,
// flags and message.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Version is the frame version that this binary writes. It rejects frames of other versions.
const Version = 1

// Limits and sizes of a frame, in bytes unless noted.
const (
	MaxFrameBytes   = 16 << 20 // highest value of the length field
	lengthBytes     = 4
	headerBytes     = 2        // version and kind
	readChunkBytes  = 64 << 10 // first step in which the buffer of a body grows; later steps double it
	MaxMessageDepth = 32       // nesting levels of msgpack arrays and maps in a body
)

// Errors of the frame and message decoders. Connections on which one of them occurs are closed.
var (
	ErrTooLarge  = errors.New("frame is too large")
	ErrTruncated = errors.New("frame is truncated")
	ErrMalformed = errors.New("message is malformed")
)

// UnknownVersionError means that a frame has a version that this binary cannot read.
type UnknownVersionError struct{ Version uint8 }

// Error implements error.
func (e *UnknownVersionError) Error() string {
	return fmt.Sprintf("unknown frame version %d, want %d", e.Version, Version)
}

// UnknownKindError means that a frame has a kind that this binary does not know.
type UnknownKindError struct{ Kind Kind }

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown message kind %d", uint8(e.Kind))
}

// Frame is a frame as read from a connection. Its body is not decoded yet.
type Frame struct {
	Kind Kind
	Body []byte
}

// Size returns the number of bytes of the whole frame on the connection.
func (f Frame) Size() int { return lengthBytes + headerBytes + len(f.Body) }

// ReadFrame reads one frame whose length field is at most limit. It returns io.EOF only at a frame
// boundary. The buffer grows as bytes arrive, so a peer cannot make the reader allocate memory by
// sending a large length without the data.
func ReadFrame(r io.Reader, limit int) (Frame, error) {
	var prefix [lengthBytes]byte
	n, err := io.ReadFull(r, prefix[:])
	if err != nil {
		return Frame{}, readError(n, err)
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if uint64(length) > uint64(limit) {
		return Frame{}, fmt.Errorf("length %d above %d: %w", length, limit, ErrTooLarge)
	}
	if length < headerBytes {
		return Frame{}, fmt.Errorf("length %d below %d: %w", length, headerBytes, ErrTruncated)
	}
	data, err := readGrowing(r, int(length))
	if err != nil {
		return Frame{}, err
	}
	if data[0] != Version {
		return Frame{}, &UnknownVersionError{Version: data[0]}
	}
	kind := Kind(data[1])
	if !kind.Known() {
		return Frame{}, &UnknownKindError{Kind: kind}
	}
	return Frame{Kind: kind, Body: data[headerBytes:]}, nil
}

// readGrowing reads length bytes and grows the buffer as they arrive.
func readGrowing(r io.Reader, length int) ([]byte, error) {
	data := make([]byte, 0, min(length, readChunkBytes))
	for len(data) < length {
		read := len(data)
		step := min(length-read, max(read, readChunkBytes))
		data = append(data, make([]byte, step)...)
		n, err := io.ReadFull(r, data[read:])
		if err != nil {
			return nil, readError(lengthBytes+read+n, err)
		}
	}
	return data, nil
}

// readError returns io.EOF for a stream that ends before a frame, and an error that wraps ErrTruncated
// for one that ends inside a frame.
func readError(read int, err error) error {
	if errors.Is(err, io.EOF) && read == 0 {
		return io.EOF
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("after %d bytes: %w", read, ErrTruncated)
	}
	return fmt.Errorf("read frame: %w", err)
}
