package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Flags give the role of a message in its exchange. An exchange is a request and its replies.
type Flags uint8

// Flags of a message. A message without flags is one-way and has exchange ID 0.
const (
	FlagRequest Flags = 1 << iota // sent by the requester: the request itself or a later message of the exchange
	FlagReply                     // sent by the replier
	FlagLast                      // the last reply
)

// Envelope is a decoded frame body. The requester assigns the exchange ID, so the same ID can be in
// use in both directions of a connection; FlagRequest and FlagReply distinguish the two exchanges.
type Envelope struct {
	Exchange uint64
	Flags    Flags
	Message  Message
}

const envelopeFields = 3

// Encode returns the complete frame of an envelope. It fails with ErrTooLarge if the frame exceeds MaxFrameBytes.
func Encode(e Envelope) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write([]byte{0, 0, 0, 0, Version, byte(e.Message.Kind())})
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	if err := encodeEnvelope(enc, e); err != nil {
		return nil, fmt.Errorf("encode %s: %w", e.Message.Kind(), err)
	}
	data := buf.Bytes()
	length := len(data) - lengthBytes
	if length > MaxFrameBytes {
		return nil, fmt.Errorf("encode %s of %d bytes: %w", e.Message.Kind(), length, ErrTooLarge)
	}
	binary.BigEndian.PutUint32(data, uint32(length))
	return data, nil
}

func encodeEnvelope(enc *msgpack.Encoder, e Envelope) error {
	if err := enc.EncodeArrayLen(envelopeFields); err != nil {
		return err
	}
	if err := enc.EncodeUint(e.Exchange); err != nil {
		return err
	}
	if err := enc.EncodeUint(uint64(e.Flags)); err != nil {
		return err
	}
	return enc.Encode(e.Message)
}

// Decode parses the body of a frame. Each error wraps ErrMalformed or is an *UnknownKindError.
func Decode(f Frame) (Envelope, error) {
	if !f.Kind.Known() {
		return Envelope{}, &UnknownKindError{Kind: f.Kind}
	}
	if err := checkDepth(f.Body); err != nil {
		return Envelope{}, fmt.Errorf("decode %s: %w", f.Kind, err)
	}
	var e Envelope
	r := bytes.NewReader(f.Body)
	dec := msgpack.NewDecoder(r)
	if err := decodeHeader(dec, &e); err != nil {
		return Envelope{}, fmt.Errorf("decode %s: %w: %w", f.Kind, ErrMalformed, err)
	}
	rest := f.Body[len(f.Body)-r.Len():]
	m, err := decoders[f.Kind](rest)
	if err != nil {
		return Envelope{}, fmt.Errorf("decode %s: %w: %w", f.Kind, ErrMalformed, err)
	}
	e.Message = m
	return e, nil
}

func decodeHeader(dec *msgpack.Decoder, e *Envelope) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != envelopeFields {
		return fmt.Errorf("envelope has %d fields, want %d", n, envelopeFields)
	}
	if e.Exchange, err = dec.DecodeUint64(); err != nil {
		return err
	}
	flags, err := dec.DecodeUint8()
	e.Flags = Flags(flags)
	return err
}

func decodeAs[T Message](body []byte) (Message, error) {
	var v T
	err := msgpack.Unmarshal(body, &v)
	return v, err
}
