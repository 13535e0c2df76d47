package record

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxRecordBytes bounds an encoded record with all its fragments: the largest request body (8 MiB), and
// the largest answer (15 MiB) with its message.
const MaxRecordBytes = 32 << 20

// FragmentBytes is the size of the fragments of a record that is too large for one batch. It leaves
// room for the batch around it.
const FragmentBytes = MaxBatchBytes * 3 / 4

// fragmentHeaderBytes covers the fields of a Fragment besides its data.
const fragmentHeaderBytes = 40

// ErrTooLarge means that a record is above MaxRecordBytes.
var ErrTooLarge = errors.New("record too large")

// ErrFragment means that fragments do not fit together.
var ErrFragment = errors.New("fragments do not fit together")

// Fragment is a part of a record that is too large for one batch. The fragments of a record follow
// each other without another record of the session in between, and the record has the place of its
// last fragment.
type Fragment struct {
	Of    Kind   `msgpack:"k"`
	Part  int    `msgpack:"pn"` // from 1
	Parts int    `msgpack:"pc"`
	Data  []byte `msgpack:"d"`
}

// Sized is a record with the size of its encoding, the header of the batch's list not included.
type Sized struct {
	Record Record
	Bytes  int
}

// Split returns the record itself if its encoding has at most limit bytes, otherwise its fragments.
func Split(r Record, limit int) ([]Sized, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record kind %d: %w", r.Kind(), err)
	}
	if len(data) <= limit {
		return []Sized{{Record: r, Bytes: len(data)}}, nil
	}
	if len(data) > MaxRecordBytes || !splits(r.Kind()) {
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

// splits tells whether readers join fragments of a kind. Manifests are bounded to fit one batch.
func splits(k Kind) bool { return k != KindPublish && k != KindManifestRefresh && k != KindFragment }

// Assembler joins the fragments of one session. The zero value is ready.
type Assembler struct {
	of   Kind
	next int
	data []byte
}

// Add takes a record of the session in log order. It returns the record that is complete with it, or
// nil while fragments are missing. It fails with ErrFragment, and then has forgotten the fragments.
func (a *Assembler) Add(r Record) (Record, error) {
	f, ok := r.(Fragment)
	if !ok {
		*a = Assembler{}
		return r, nil
	}
	if f.Part == 1 {
		*a = Assembler{of: f.Of, next: 1}
	}
	if f.Part != a.next || f.Of != a.of || !splits(f.Of) || len(a.data)+len(f.Data) > MaxRecordBytes {
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
