package record

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ragwortstile/internal/id"
)

// Version is the batch format that this binary writes. It reads this version only.
const Version = 1

// MaxBatchBytes bounds an encoded batch, so that it fits one append of the platform's log.
const MaxBatchBytes = 1 << 20

// Errors of Decode.
var (
	ErrVersion = errors.New("unknown batch version")
	ErrKind    = errors.New("unknown record kind")
	// ErrMalformed is for bytes that do not fit the type.
	ErrMalformed = errors.New("malformed msgpack")
)

// Batch is one append of one session. Seq rises by 1 with each batch of a session on a stream; a
// reader ignores a batch whose Seq is not above the session's last, so an append that was retried
// after its answer was lost counts once.
type Batch struct {
	Session id.Session
	Seq     uint64
	At      time.Time // wall time of the writer, to the millisecond; readers fold it, never their own clock
	Records []Record
}

type wireBatch struct {
	Version uint8        `msgpack:"v"`
	Session id.Session   `msgpack:"ss"`
	Seq     uint64       `msgpack:"q"`
	AtMs    int64        `msgpack:"t"`
	Records []wireRecord `msgpack:"r"`
}

// compressFrom is the size from which a record is compressed. Streamed answers repeat the same JSON
// around each token and shrink to about a tenth, so that they fit an append.
const compressFrom = 16 << 10

// maxInflated bounds a decompressed record, so that a faulty batch can't take all memory.
const maxInflated = 32 << 20

type wireRecord struct {
	Kind    Kind               `msgpack:"k"`
	Body    msgpack.RawMessage `msgpack:"b,omitempty"`
	Deflate []byte             `msgpack:"z,omitempty"` // the body, compressed; then Body is empty
}

// Encode returns the msgpack form of a batch.
func Encode(b Batch) ([]byte, error) {
	w := wireBatch{Version: Version, Session: b.Session, Seq: b.Seq, AtMs: b.At.UnixMilli()}
	for _, r := range b.Records {
		body, err := msgpack.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("encode record kind %d: %w", r.Kind(), err)
		}
		wr, err := packRecord(r.Kind(), body)
		if err != nil {
			return nil, fmt.Errorf("encode record kind %d: %w", r.Kind(), err)
		}
		w.Records = append(w.Records, wr)
	}
	return msgpack.Marshal(w)
}

// Decode parses a batch. It fails with ErrVersion or ErrKind for formats of a newer binary.
func Decode(data []byte) (Batch, error) {
	var w wireBatch
	if err := Unmarshal(data, &w); err != nil {
		return Batch{}, fmt.Errorf("decode batch: %w", err)
	}
	if w.Version != Version {
		return Batch{}, fmt.Errorf("decode batch: version %d: %w", w.Version, ErrVersion)
	}
	b := Batch{Session: w.Session, Seq: w.Seq, At: time.UnixMilli(w.AtMs).UTC()}
	for i, r := range w.Records {
		rec, err := decodeRecord(r)
		if err != nil {
			return Batch{}, fmt.Errorf("decode record %d of session %s batch %d: %w", i, w.Session, w.Seq, err)
		}
		b.Records = append(b.Records, rec)
	}
	return b, nil
}

// packRecord compresses a large body if that makes it smaller.
func packRecord(kind Kind, body []byte) (wireRecord, error) {
	plain := wireRecord{Kind: kind, Body: body}
	if len(body) < compressFrom {
		return plain, nil
	}
	var buf bytes.Buffer
	z, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return plain, err
	}
	if _, err := z.Write(body); err != nil {
		return plain, err
	}
	if err := z.Close(); err != nil {
		return plain, err
	}
	if buf.Len() >= len(body) {
		return plain, nil
	}
	return wireRecord{Kind: kind, Deflate: buf.Bytes()}, nil
}

// unpackRecord returns the record with its body decompressed.
func unpackRecord(r wireRecord) (wireRecord, error) {
	if len(r.Deflate) == 0 {
		return r, nil
	}
	z := flate.NewReader(bytes.NewReader(r.Deflate))
	body, err := io.ReadAll(io.LimitReader(z, maxInflated+1))
	if err != nil {
		return r, fmt.Errorf("decompress: %w", err)
	}
	if len(body) > maxInflated {
		return r, fmt.Errorf("decompress: more than %d bytes", maxInflated)
	}
	return wireRecord{Kind: r.Kind, Body: body}, nil
}

func decodeRecord(r wireRecord) (Record, error) {
	r, err := unpackRecord(r)
	if err != nil {
		return nil, err
	}
	switch r.Kind {
	case KindClaim:
		return unmarshal[Claim](r.Body)
	case KindHandover:
		return unmarshal[Handover](r.Body)
	case KindClaimRefresh:
		return unmarshal[ClaimRefresh](r.Body)
	case KindOpen:
		return unmarshal[Open](r.Body)
	case KindBranch:
		return unmarshal[Branch](r.Body)
	case KindRaise:
		return unmarshal[Raise](r.Body)
	case KindTurn:
		return unmarshal[Turn](r.Body)
	case KindIntent:
		return unmarshal[Intent](r.Body)
	case KindOutcome:
		return unmarshal[Outcome](r.Body)
	case KindSettle:
		return unmarshal[Settle](r.Body)
	case KindEnd:
		return unmarshal[End](r.Body)
	case KindReleased:
		return unmarshal[Released](r.Body)
	case KindSnapshot:
		return unmarshal[Snapshot](r.Body)
	case KindPublish:
		return unmarshal[Publish](r.Body)
	case KindRefresh:
		return unmarshal[Refresh](r.Body)
	case KindOrderIntent:
		return unmarshal[OrderIntent](r.Body)
	default:
		return nil, fmt.Errorf("kind %d: %w", r.Kind, ErrKind)
	}
}

func unmarshal[T Record](body []byte) (Record, error) {
	var v T
	err := Unmarshal(body, &v)
	return v, err
}

// Unmarshal is msgpack.Unmarshal for bytes from outside. The library panics on a nil in place of a
// time (found by FuzzDecodeState in package fsm); here that is an ErrMalformed.
func Unmarshal(data []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v: %w", r, ErrMalformed)
		}
	}()
	return msgpack.Unmarshal(data, v)
}
