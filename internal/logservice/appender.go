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
	// defaultMinInterval limits a session to 20 appends per second, so that 13 instances stay below
	// the several hundred appends per second that the log accepts in total.
	defaultMinInterval = 50 * time.Millisecond
	// defaultDownAfter is the time without a response after which turns are copied to peers.
	defaultDownAfter = 150 * time.Millisecond
	// defaultAttemptTimeout ends an append whose connection hangs.
	defaultAttemptTimeout = 3 * time.Second
	// defaultProbeInterval is the interval of empty batches while the log is down and no records are
	// pending. Without them the appender would not notice that the log is up again.
	defaultProbeInterval = 500 * time.Millisecond
	defaultMaxBuffered   = 2 * record.MaxRecordBytes // bytes

	appendBackoffMin = 100 * time.Millisecond
	appendBackoffMax = time.Second

	// batchOverheadBytes covers the longest encoding of the array header and of the batch sequence number.
	batchOverheadBytes = 16
	// recordOverheadBytes covers the names of a record's two fields in a batch and its kind.
	recordOverheadBytes = 8
)

// AppenderConfig configures an Appender. Zero values select the defaults. The callbacks run on the
// goroutine of Serve and may be nil.
type AppenderConfig struct {
	Client  *LogClient
	Stream  string
	Session id.Session

	MinInterval    time.Duration // between the starts of two appends; default 50 ms
	DownAfter      time.Duration // from the first append of a batch to Down(true); default 150 ms
	AttemptTimeout time.Duration // of one append; default 3 s
	ProbeInterval  time.Duration // between empty batches while the log is down; default 500 ms
	MaxBuffered    int           // bytes of unconfirmed records; default 32 MiB

	// Down is called with true when a batch was not confirmed within DownAfter of its first append, and
	// with false when an append is confirmed within DownAfter again.
	Down func(down bool)
	// Committed is called for each batch that is in the log. The offset is 0 and known is false when the
	// reader reported the batch before the response arrived.
	Committed func(seq, offset uint64, known bool)
	// Written is called for each batch that is in the log, with its numbers of records and bytes, for metrics.
	Written func(records, bytes int)
	// Failed is called after each failed append, for metrics and logs.
	Failed func(err error)
}

// Appender writes the records of one session to one stream by group commit. There is one batch in flight
// at a time. Its bytes are appended again until the log confirms them or the reader of the stream
// reports the batch through Seen. So the batches reach the log in order, and as readers ignore a batch
// whose sequence number they have read before, each batch counts once.
type Appender struct {
	cfg       AppenderConfig
	baseBytes int // encoded size of an empty batch

	wake chan struct{} // signals Serve that records were added; capacity 1

	mu           sync.Mutex
	pending      []sizedRecord
	buffered     int // bytes in pending and in current
	current      *openBatch
	seq          uint64 // sequence number of the last batch
	flushWaiters []chan struct{}

	// Accessed by Serve only.
	lastStart time.Time
	down      bool
}

// sizedRecord is a record with the bytes that it adds to a batch.
type sizedRecord struct {
	rec  record.Record
	size int
}

// openBatch is a batch in flight: neither the log nor the reader has confirmed it.
type openBatch struct {
	seq    uint64
	data   []byte
	count  int           // records
	size   int           // its part of Appender.buffered, in bytes
	seen   chan struct{} // closed when the reader reports the batch
	isSeen bool          // seen is closed
}

// NewAppender returns an Appender that writes while Serve runs.
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

// Add buffers records for the next batches, in order: all of them or, on an error, none. The records
// may be distributed over several batches. Errors: ErrBufferFull, ErrTooLarge for a record that is too
// large even when split.
func (a *Appender) Add(records ...record.Record) error {
	sized := make([]sizedRecord, 0, len(records))
	total := 0
	for _, r := range records {
		parts, err := a.split(r)
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
		return fmt.Errorf("%d bytes buffered, %d bytes to add: %w", a.buffered, total, ErrBufferFull)
	}
	a.pending = append(a.pending, sized...)
	a.buffered += total
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return nil
}

// split returns a record, or its fragments if it is too large for one batch, with their sizes.
func (a *Appender) split(r record.Record) ([]sizedRecord, error) {
	parts, err := record.Split(r, a.batchCapacity()-recordOverheadBytes)
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

// batchCapacity returns the bytes that the records of one batch may take.
func (a *Appender) batchCapacity() int {
	return record.MaxBatchBytes - a.baseBytes - batchOverheadBytes
}

// Seen reports that the reader of the stream has read a batch of this session, which confirms the batch
// even if the response to its append is lost. Calls for other batches than the one in flight are ignored.
func (a *Appender) Seen(seq uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.current
	if b == nil || b.seq != seq || b.isSeen {
		return
	}
	b.isSeen = true
	close(b.seen)
}

// Buffered returns the bytes of the records that are not confirmed yet.
func (a *Appender) Buffered() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.buffered
}

// Flush waits until all records are confirmed, including those added meanwhile. Serve must be running.
func (a *Appender) Flush(ctx context.Context) error {
	a.mu.Lock()
	if len(a.pending) == 0 && a.current == nil {
		a.mu.Unlock()
		return nil
	}
	done := make(chan struct{})
	a.flushWaiters = append(a.flushWaiters, done)
	a.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// String returns the name for the supervisor's log.
func (a *Appender) String() string { return "appender of " + a.cfg.Stream }

// nextBatch returns the batch that an earlier Serve left unconfirmed, or else makes one of the pending
// records. Without pending records it makes an empty batch if probe is set, and returns nil otherwise.
func (a *Appender) nextBatch(probe bool) (*openBatch, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil {
		return a.current, nil
	}
	n, size := 0, 0
	for n < len(a.pending) && size+a.pending[n].size <= a.batchCapacity() {
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

// finish removes the batch in flight and releases the callers of Flush if no records are pending.
func (a *Appender) finish(b *openBatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current = nil
	a.buffered -= b.size
	if len(a.pending) > 0 {
		return
	}
	for _, done := range a.flushWaiters {
		close(done)
	}
	a.flushWaiters = nil
}
