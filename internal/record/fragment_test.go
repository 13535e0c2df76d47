package record

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
)

func turnOfSize(n int) Turn { return Turn{Key: "k", Body: bytes.Repeat([]byte{'x'}, n)} }

// Guards against a long answer or prompt that does not fit into one append and so can never be recorded.
func TestSplitAndAssemble(t *testing.T) {
	parts, err := Split(turnOfSize(3*MaxBatchBytes), MaxBatchBytes)
	must.NoError(t, err)
	must.Greater(t, 3, len(parts))
	var a Assembler
	for i, p := range parts {
		data, err := Encode(Batch{Records: []Record{p.Record}})
		must.NoError(t, err)
		must.LessEq(t, MaxBatchBytes, len(data))
		b, err := Decode(data)
		must.NoError(t, err)
		whole, err := a.Add(b.Records[0])
		must.NoError(t, err)
		if i < len(parts)-1 {
			must.Nil(t, whole)
			continue
		}
		must.True(t, bytes.Equal(turnOfSize(3*MaxBatchBytes).Body, whole.(Turn).Body))
	}
}

// Guards against joining fragments of two different records, or fragments out of order.
func TestAssemblerRefusesOtherParts(t *testing.T) {
	parts, err := Split(turnOfSize(3*MaxBatchBytes), MaxBatchBytes)
	must.NoError(t, err)
	var a Assembler
	_, err = a.Add(parts[1].Record)
	must.ErrorIs(t, err, ErrFragment)
	_, err = a.Add(parts[0].Record)
	must.NoError(t, err)
	_, err = a.Add(Raise{})
	must.NoError(t, err)
	_, err = a.Add(parts[1].Record)
	must.ErrorIs(t, err, ErrFragment)
	_, err = Split(turnOfSize(MaxRecordBytes), MaxBatchBytes)
	must.ErrorIs(t, err, ErrTooLarge)
	_, err = Split(Publish{Manifest: make([]byte, MaxBatchBytes)}, MaxBatchBytes)
	must.ErrorIs(t, err, ErrTooLarge)
}
