package record

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxRecordBytes is the largest size of an encoded record before it is split. It has room for the largest
// request body (8 MiB) and the largest response body (15 MiB) together with the message in it.
const MaxRecordBytes = 32 << 20

// FragmentBytes is the data size of the fragments of a record that is too large for one batch. It leaves
// room in MaxBatchBytes for the encoding of the batch.
const FragmentBytes = MaxBatchBytes * 3 / 4

// fragmentHeaderBytes is the room for the encoded fields of a Fragment other than its data.
const fragmentHeaderBytes = 40

// ErrTooLarge means that a record exceeds MaxRecordBytes, or is too large for one batch and of a kind
// that cannot be split.
var ErrTooLarge = errors.New("record too large")

// ErrFragment means that a fragment does not continue the fragments before it.
var ErrFragment = errors.New("fragments do not fit together")

// Fragment is a part of a record that is too large for one batch. The fragments of a record are
// consecutive among the records of their session, and the record takes the log position of its last
// fragment.
type Fragment struct {
	Of    Kind   `msgpack:"k"`  // kind of the split record
	Part  int    `msgpack:"pn"` // 1 to Parts
	Parts int    `msgpack:"pc"`
	Data  []byte `msgpack:"d"`
}

// Sized is a record with the size of its encoding in bytes, without the header of the list in the batch.
type Sized struct {
	Record Record
	Bytes  int
}

// Split returns the record itself if its encoding has at most limit bytes, and its fragments otherwise.
func Split(r Record, limit int) ([]Sized, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record kind %d: %w", r.Kind(), err)
	}
	if len(data) <= limit {
		return []Sized{{Record: r, Bytes: len(data)}}, nil
	}
	if len(data) > MaxRecordBytes || !isSplittable(r.Kind()) {
		return nil, fmt.Errorf("record kind %d of %d bytes: %w", r.Kind(), len(data), ErrTooLarge)
	}
	parts := (len(data) + FragmentBytes - 1) / FragmentBytes
	fragments := make([]Sized, 0, parts)
	for i := range parts {
		piece := data[i*FragmentBytes : min((i+1)*FragmentBytes, len(data))]
		f := Fragment{Of: r.Kind(), Part: i + 1, Parts: parts, Data: piece}
		fragments = append(fragments, Sized{Record: f, Bytes: len(piece) + fragmentHeaderBytes})
	}
	return fragments, nil
}

// isSplittable reports whether records of a kind can be split into fragments. The size of a manifest is
// limited so that it fits into one batch.
func isSplittable(k Kind) bool {
	return k != KindPublish && k != KindManifestRefresh && k != KindFragment
}

// Assembler joins the fragments of one session. The zero value is ready for use.
type Assembler struct {
	of   Kind
	next int
	data []byte
}

// Add takes the next record of the session in log order. It returns the complete record, or nil while
// fragments are missing. If a fragment does not fit, it discards all fragments so far and returns an
// error that wraps ErrFragment.
func (a *Assembler) Add(r Record) (Record, error) {
	f, ok := r.(Fragment)
	if !ok {
		*a = Assembler{}
		return r, nil
	}
	if f.Part == 1 {
		*a = Assembler{of: f.Of, next: 1}
	}
	if f.Part != a.next || f.Of != a.of || !isSplittable(f.Of) || len(a.data)+len(f.Data) > MaxRecordBytes {
		*a = Assembler{}
		return nil, fmt.Errorf("part %d of %d: %w", f.Part, f.Parts, ErrFragment)
	}
	a.data = append(a.data, f.Data...)
	a.next++
	if f.Part < f.Parts {
		return nil, nil
	}
	whole := wireRecord{Kind: a.of, Body: a.data}
	*a = Assembler{}
	return decodeRecord(whole)
}
