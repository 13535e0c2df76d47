package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Flags tell the part of a message in its exchange.
type Flags uint8

// Flags of a message. A message without flags is one-way and has exchange ID 0.
const (
	FlagRequest Flags = 1 << iota // opens an exchange, or belongs to its requester's side
	FlagReply                     // sent by the replier
	FlagLast                      // the last reply
)

// Envelope is a decoded frame body. Exchange IDs are chosen by the requester, so the same ID can
// be in use in both directions; FlagRequest and FlagReply tell them apart.
type Envelope struct {
	Exchange uint64
	Flags    Flags
	Message  Message
}

const envelopeFields = 3

// Encode returns a whole frame. It fails with ErrTooLarge above MaxFrameBytes.
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

// Decode parses the body of a frame. Its errors wrap ErrMalformed or are *UnknownKindError.
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
