package logservice

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// Defaults of AppenderConfig.
const (
	// defaultMinInterval keeps a session at 20 appends per second, so that 13 instances stay below
	// the several hundred per second that the log takes in all.
	defaultMinInterval = 50 * time.Millisecond
	// defaultDownAfter is the time without an answer after which turns are copied to peers.
	defaultDownAfter = 150 * time.Millisecond
	// defaultAttemptTimeout ends an append on a connection that hangs.
	defaultAttemptTimeout = 3 * time.Second
	// defaultProbeInterval is the pause between empty batches while the log is down and nothing
	// waits to be written. Without them the return of the log would go unnoticed.
	defaultProbeInterval = 500 * time.Millisecond
	defaultMaxBuffered   = 2 * record.MaxRecordBytes

	appendBackoffMin = 100 * time.Millisecond
	appendBackoffMax = time.Second

	// batchOverheadBytes covers the longest array header and the longest batch sequence number.
	batchOverheadBytes = 16
	// recordOverheadBytes covers the names of a record's two fields in a batch and its kind.
	recordOverheadBytes = 8
)

// AppenderConfig sets up an Appender. Zero values take the defaults. The callbacks run on the
// goroutine of Serve and may be nil.
type AppenderConfig struct {
	Client  *LogClient
	Stream  string
	Session id.Session

	MinInterval    time.Duration // between the starts of two appends; default 50 ms
	DownAfter      time.Duration // default 150 ms
	AttemptTimeout time.Duration // of one append; default 3 s
	ProbeInterval  time.Duration // default 500 ms
	MaxBuffered    int           // bytes of records that wait; default 32 MiB

	// Down is called with true when a batch was not accepted within DownAfter of its first append,
	// and with false when an append is answered in time again.
	Down func(down bool)
	// Committed is called for each batch that the log has taken. The offset is 0 and known is false
	// when the reader showed the batch before the answer came.
	Committed func(seq, offset uint64, known bool)
	// Written is called for each batch that the log has taken, with its records and bytes, for metrics.
	Written func(records, bytes int)
	// Failed is called for each append that failed, for metrics and logs.
	Failed func(err error)
}

// Appender writes the records of one session to one stream by group commit. One append is under way
// at a time; its bytes are repeated until the log answers or the reader shows the batch, so the
// batches of the session reach the log in order and each counts once.
type Appender struct {
	cfg       AppenderConfig
	baseBytes int // encoded size of a batch without records

	wake chan struct{} // holds one token when records were added

	mu       sync.Mutex
	pending  []sizedRecord
	buffered int // bytes in pending and in current
	current  *openBatch
	seq      uint64 // of the last batch
	flushed  []chan struct{}

	// Used by Serve only.
	lastStart time.Time
	down      bool
}

type sizedRecord struct {
	rec  record.Record
	size int
}

// openBatch is a batch that the log has not confirmed.
type openBatch struct {
	seq   uint64
	data  []byte
	count int           // records
	size  int           // bytes that it takes of the buffer
	seen  chan struct{} // closed when the reader shows the batch
	shown bool
}

// NewAppender returns an Appender. Serve does the work.
func NewAppender(cfg AppenderConfig) (*Appender, error) {
	setDefault(&cfg.MinInterval, defaultMinInterval)
	setDefault(&cfg.DownAfter, defaultDownAfter)
	setDefault(&cfg.AttemptTimeout, defaultAttemptTimeout)
	setDefault(&cfg.ProbeInterval, defaultProbeInterval)
	setDefault(&cfg.MaxBuffered, defaultMaxBuffered)
	base, err := record.Encode(record.Batch{Session: cfg.Session, Seq: math.MaxUint64})
	if err != nil {
		return nil, err
	}
	return &Appender{cfg: cfg, baseBytes: len(base), wake: make(chan struct{}, 1)}, nil
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Add buffers records for the next batches, in order. It takes all of them or none. They may end up
// in several batches. Errors:
// ErrBufferFull, ErrTooLarge for a record that fits no batch.
func (a *Appender) Add(records ...record.Record) error {
	sized := make([]sizedRecord, 0, len(records))
	total := 0
	for _, r := range records {
		parts, err := a.sized(r)
		if err != nil {
			return err
		}
		for _, part := range parts {
			sized = append(sized, part)
			total += part.size
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.buffered+total > a.cfg.MaxBuffered {
		return fmt.Errorf("%d bytes wait, %d more: %w", a.buffered, total, ErrBufferFull)
	}
	a.pending = append(a.pending, sized...)
	a.buffered += total
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return nil
}

// sized returns a record, or its fragments if it fits no batch, with the bytes that each adds to a batch.
func (a *Appender) sized(r record.Record) ([]sizedRecord, error) {
	parts, err := record.Split(r, a.batchRoom()-recordOverheadBytes)
	if err != nil {
		if errors.Is(err, record.ErrTooLarge) {
			err = fmt.Errorf("%w: %w", ErrTooLarge, err)
		}
		return nil, err
	}
	sized := make([]sizedRecord, 0, len(parts))
	for _, part := range parts {
		sized = append(sized, sizedRecord{rec: part.Record, size: part.Bytes + recordOverheadBytes})
	}
	return sized, nil
}

func (a *Appender) batchRoom() int {
	return record.MaxBatchBytes - a.baseBytes - batchOverheadBytes
}

// Seen tells that the reader read a batch of this session on this stream. Batches other than the one under way are
// ignored.
func (a *Appender) Seen(seq uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.current
	if b == nil || b.seq != seq || b.shown {
		return
	}
	b.shown = true
	close(b.seen)
}

// Buffered returns the bytes of the records that the log has not confirmed.
func (a *Appender) Buffered() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.buffered
}

// Flush waits until the log has taken all records that were added before. It needs a running Serve.
func (a *Appender) Flush(ctx context.Context) error {
	a.mu.Lock()
	if len(a.pending) == 0 && a.current == nil {
		a.mu.Unlock()
		return nil
	}
	done := make(chan struct{})
	a.flushed = append(a.flushed, done)
	a.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// String names the appender in the supervisor's log.
func (a *Appender) String() string { return "appender of " + a.cfg.Stream }

// cut makes the next batch of the pending records. With probe it makes an empty batch when there
// are none. A batch that an earlier Serve left open comes first.
func (a *Appender) cut(probe bool) (*openBatch, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil {
		return a.current, nil
	}
	n, size := 0, 0
	for n < len(a.pending) && size+a.pending[n].size <= a.batchRoom() {
		size += a.pending[n].size
		n++
	}
	if n == 0 && !probe {
		return nil, nil
	}
	records := make([]record.Record, n)
	for i := range records {
		records[i] = a.pending[i].rec
	}
	data, err := record.Encode(record.Batch{Session: a.cfg.Session, Seq: a.seq + 1, At: time.Now(), Records: records})
	if err != nil {
		return nil, err
	}
	a.seq++
	a.pending = append([]sizedRecord(nil), a.pending[n:]...)
	a.current = &openBatch{seq: a.seq, data: data, size: size, count: n, seen: make(chan struct{})}
	return a.current, nil
}

// finish forgets the batch under way.
func (a *Appender) finish(b *openBatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current = nil
	a.buffered -= b.size
	if len(a.pending) > 0 {
		return
	}
	for _, done := range a.flushed {
		close(done)
	}
	a.flushed = nil
}
