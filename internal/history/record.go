package history

import (
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// RecordKind tells what a record says.
type RecordKind uint8

// Kinds of records. The numbers are part of the format in the store and are never reused.
const (
	// RecordClaim says that an instance writes the partition from here on under Epoch.
	RecordClaim RecordKind = iota + 1
	// RecordGrant raises the ceiling of a program.
	RecordGrant
	// RecordTurn holds a whole turn, and ends its attempt.
	RecordTurn
	// RecordEnd ends an attempt that gave no whole turn.
	RecordEnd
)

// Record is an entry of a partition of the history topic. Fields that a kind doesn't use are empty.
type Record struct {
	Kind        RecordKind `msgpack:"k"`
	At          int64      `msgpack:"t"`             // Unix milliseconds of the writer
	Epoch       int64      `msgpack:"e,omitempty"`   // RecordClaim
	Holder      string     `msgpack:"h,omitempty"`   // RecordClaim
	Program     string     `msgpack:"p,omitempty"`   // empty for turns outside a program
	Turn        string     `msgpack:"id,omitempty"`  // the attempt, and the turn that it becomes
	Previous    string     `msgpack:"pr,omitempty"`  // the turn that is continued
	Input       []byte     `msgpack:"in,omitempty"`  // RecordTurn
	Output      []byte     `msgpack:"out,omitempty"` // RecordTurn
	Tokens      int64      `msgpack:"n,omitempty"`   // handed out by the attempt
	Ceiling     int64      `msgpack:"c,omitempty"`   // up to which the program's tokens may be handed out from here on
	Spent       int64      `msgpack:"s,omitempty"`   // tokens that the program has spent, this record included
	RetentionMs int64      `msgpack:"kp,omitempty"`  // RecordTurn: how long the turn is kept
}

// ErrMalformed means that a record is none of this version.
var ErrMalformed = errors.New("malformed history record")

// Encode returns the bytes of a record.
func (r Record) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("history record %d: %w", r.Kind, err)
	}
	return data, nil
}

// Decode parses a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if r.Kind < RecordClaim || r.Kind > RecordEnd {
		return Record{}, fmt.Errorf("%w: kind %d", ErrMalformed, r.Kind)
	}
	return r, nil
}

func (r Record) keep() time.Duration { return time.Duration(r.RetentionMs) * time.Millisecond }
