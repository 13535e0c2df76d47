package history

import (
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// RecordKind is the kind of a record.
type RecordKind uint8

// Kinds of records. The numbers are part of the format in the store and are never reused.
const (
	// RecordClaim marks that the instance in Holder writes the following records of the partition, under Epoch.
	RecordClaim RecordKind = iota + 1
	// RecordGrant raises the token ceiling of a program.
	RecordGrant
	// RecordTurn holds a completed turn and ends its attempt.
	RecordTurn
	// RecordEnd ends an attempt that did not complete its turn.
	RecordEnd
)

// Record is an entry in a partition of the history topic. Fields that its kind does not use are empty.
type Record struct {
	Kind        RecordKind `msgpack:"k"`
	At          int64      `msgpack:"t"`             // time of the write in Unix milliseconds, by the clock of the writer
	Epoch       int64      `msgpack:"e,omitempty"`   // RecordClaim
	Holder      string     `msgpack:"h,omitempty"`   // RecordClaim
	Program     string     `msgpack:"p,omitempty"`   // empty for turns that belong to no program
	Turn        string     `msgpack:"id,omitempty"`  // ID of the attempt, and of the turn once it is complete
	Previous    string     `msgpack:"pr,omitempty"`  // ID of the turn that this one continues
	Input       []byte     `msgpack:"in,omitempty"`  // RecordTurn
	Output      []byte     `msgpack:"out,omitempty"` // RecordTurn
	Tokens      int64      `msgpack:"n,omitempty"`   // tokens that the attempt sent to the caller
	Ceiling     int64      `msgpack:"c,omitempty"`   // total tokens that the program may spend without another record
	Spent       int64      `msgpack:"s,omitempty"`   // total tokens that the program has spent, including this record
	RetentionMs int64      `msgpack:"kp,omitempty"`  // RecordTurn: retention of the turn
}

// BudgetPart returns the record of a complete turn as that of the end of an attempt, without the text.
func (r Record) BudgetPart() Record {
	return Record{Kind: RecordEnd, At: r.At, Program: r.Program, Turn: r.Turn, Tokens: r.Tokens, Ceiling: r.Ceiling, Spent: r.Spent}
}

// ErrMalformed means that the data is not a record of this version of the format.
var ErrMalformed = errors.New("malformed history record")

// Encode returns the stored form of a record.
func (r Record) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("history record %d: %w", r.Kind, err)
	}
	return data, nil
}

// Decode parses the stored form of a record. Its errors wrap ErrMalformed.
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

func (r Record) retention() time.Duration { return time.Duration(r.RetentionMs) * time.Millisecond }
