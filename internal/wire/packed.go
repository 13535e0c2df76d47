package wire

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"

	"github.com/vmihailenco/msgpack/v5"

	"ragwortstile/internal/id"
)

// SlotEpoch is a slot with the epoch under which it is held.
type SlotEpoch struct {
	Slot  id.Slot
	Epoch id.Epoch
}

// SlotEpochs is encoded as a byte string with one byte for the slot and a varint for the epoch of each
// entry.
type SlotEpochs []SlotEpoch

// Heard tells how long ago the sender last received a heartbeat directly from a session. Peer is the
// SessionHash of that session. If two sessions have the same hash, a dead one can seem alive, which
// delays a takeover but never allows one.
type Heard struct {
	Peer  uint32
	AgeMS uint64 // in milliseconds, at the time of sending
}

// HeardList is encoded as a byte string with 4 bytes for the hash and a varint for the age of each entry.
type HeardList []Heard

// SessionHash returns the 32-bit FNV-1a hash that identifies a session in Heard.
func SessionHash(s id.Session) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s)) // hash.Hash never fails
	return h.Sum32()
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l SlotEpochs) EncodeMsgpack(enc *msgpack.Encoder) error {
	var data []byte
	for _, e := range l {
		data = append(data, byte(e.Slot))
		data = binary.AppendUvarint(data, uint64(e.Epoch))
	}
	return enc.EncodeBytes(data)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *SlotEpochs) DecodeMsgpack(dec *msgpack.Decoder) error {
	data, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	*l = nil
	for len(data) > 0 {
		slot := data[0]
		if slot >= id.Slots {
			return fmt.Errorf("slot %d is not below %d", slot, id.Slots)
		}
		epoch, n := binary.Uvarint(data[1:])
		if n <= 0 {
			return fmt.Errorf("epoch of slot %d: %w", slot, ErrTruncated)
		}
		*l = append(*l, SlotEpoch{Slot: id.Slot(slot), Epoch: id.Epoch(epoch)})
		data = data[1+n:]
	}
	return nil
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l HeardList) EncodeMsgpack(enc *msgpack.Encoder) error {
	var data []byte
	for _, h := range l {
		data = binary.BigEndian.AppendUint32(data, h.Peer)
		data = binary.AppendUvarint(data, h.AgeMS)
	}
	return enc.EncodeBytes(data)
}

const hashBytes = 4 // size of a SessionHash

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *HeardList) DecodeMsgpack(dec *msgpack.Decoder) error {
	data, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	*l = nil
	for len(data) > 0 {
		if len(data) < hashBytes {
			return fmt.Errorf("hash of a session: %w", ErrTruncated)
		}
		age, n := binary.Uvarint(data[hashBytes:])
		if n <= 0 {
			return fmt.Errorf("age of a session: %w", ErrTruncated)
		}
		*l = append(*l, Heard{Peer: binary.BigEndian.Uint32(data), AgeMS: age})
		data = data[hashBytes+n:]
	}
	return nil
}
