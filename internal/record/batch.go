package record

import (
	"errors"
	"fmt"
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

type wireRecord struct {
	Kind Kind               `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b"`
}

// Encode returns the msgpack form of a batch.
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
