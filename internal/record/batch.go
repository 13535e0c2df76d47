package record

import (
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ragwortstile/internal/id"
)

// Version is the batch format that this binary writes. It rejects batches of other versions.
const Version = 1

// MaxBatchBytes is the largest size of an encoded batch, so that it fits into one append of the
// platform's log.
const MaxBatchBytes = 1 << 20

// Errors of Decode.
var (
	ErrVersion = errors.New("unknown batch version")
	ErrKind    = errors.New("unknown record kind")
	// ErrMalformed means that the msgpack decoder panicked on the data.
	ErrMalformed = errors.New("malformed msgpack")
)

// Batch is the content of one append by one session. Seq increases by 1 with each batch of a session on
// a stream. Readers ignore a batch whose Seq is not above the last one of its session, so an append that
// is retried because its response was lost takes effect only once.
type Batch struct {
	Session id.Session
	Seq     uint64
	At      time.Time // wall time of the writer in milliseconds; readers use it instead of their own clock
	Records []Record
}

type wireBatch struct {
	Version uint8        `msgpack:"v"`
	Session id.Session   `msgpack:"ss"`
	Seq     uint64       `msgpack:"q"`
	AtMs    int64        `msgpack:"t"`
	Records []wireRecord `msgpack:"r"`
}

type wireRecord struct {
	Kind Kind               `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b"`
}

// Encode returns the msgpack encoding of a batch.
func Encode(b Batch) ([]byte, error) {
	w := wireBatch{Version: Version, Session: b.Session, Seq: b.Seq, AtMs: b.At.UnixMilli()}
	for _, r := range b.Records {
		body, err := msgpack.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("encode record kind %d: %w", r.Kind(), err)
		}
		w.Records = append(w.Records, wireRecord{Kind: r.Kind(), Body: body})
	}
	return msgpack.Marshal(w)
}

// Decode parses a batch. Its error wraps ErrVersion or ErrKind if a newer binary wrote a format that
// this one does not know.
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

func decodeRecord(r wireRecord) (Record, error) {
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
	case KindManifestRefresh:
		return unmarshal[ManifestRefresh](r.Body)
	case KindOrderIntent:
		return unmarshal[OrderIntent](r.Body)
	case KindFragment:
		return unmarshal[Fragment](r.Body)
	default:
		return nil, fmt.Errorf("kind %d: %w", r.Kind, ErrKind)
	}
}

func unmarshal[T Record](body []byte) (Record, error) {
	var v T
	err := Unmarshal(body, &v)
	return v, err
}

// Unmarshal is msgpack.Unmarshal for untrusted data. The msgpack library panics if the data has a nil in
// place of a time (see FuzzDecodeState in package fsm); Unmarshal then returns an error that wraps
// ErrMalformed.
func Unmarshal(data []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v: %w", r, ErrMalformed)
		}
	}()
	return msgpack.Unmarshal(data, v)
}
