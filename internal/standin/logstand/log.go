// Package logstand is a stand-in for the platform's log service in tests and the demo. Log is an HTTP handler for
// streams of records with offsets, a retention time, and a rate limit that all streams share. Its methods
// inject faults and return what was recorded.
package logstand

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ragwortstile/internal/standin"
)

const (
	maxAppendBytes   = 1 << 20               // maximum size of the body of an append
	defaultPageBytes = 4 << 20               // maximum size of the records in a response if the read has no max_bytes
	maxWait          = 30 * time.Second      // longest time that a read waits for records
	rateRetryAfter   = 50 * time.Millisecond // Retry-After of an append that exceeds the rate limit
)

// Settings of a Log. They do not change while it runs.
type Settings struct {
	Scale     standin.Scale
	Retention time.Duration // simulated time after which a record is deleted; 0: never
	Rate      float64       // appends to all streams per second of real time, in bursts of at most a tenth of that or 1; 0: no limit
}

// Log is the HTTP handler of the log. Its methods are safe for concurrent use.
type Log struct {
	settings Settings
	limiter  *rate.Limiter
	mux      *http.ServeMux

	mu      sync.Mutex
	streams map[string]*stream
	faults  faults
	stats   Stats
	timers  map[*time.Timer]struct{} // timers of the pending duplicate appends
}

// faults are the faults that tests have switched on.
type faults struct {
	outage         bool
	delay          time.Duration // simulated time before an append or read is processed
	answerDelay    time.Duration // simulated time between an append and its response
	loseAnswers    int           // number of appends still to come whose response is lost
	duplicates     int           // number of appends still to come that are duplicated
	duplicateDelay time.Duration // simulated time between an append and its duplicate
}

// Stats counts requests by what the log did with them.
type Stats struct {
	Appends     int // appends that took effect, including duplicates
	RateLimited int // appends refused with status 429
	Refused     int // requests refused with status 503
	LostAnswers int // responses lost after the append took effect
	Duplicates  int // appends repeated by DuplicateAppends
	Reads       int
}

// stream is one stream of records.
type stream struct {
	first   uint64 // offset of records[0]
	records []storedRecord
	changed chan struct{} // closed and replaced by each append and each call of SetOutage
}

// storedRecord is the data of a record and the time of its append.
type storedRecord struct {
	data []byte
	at   time.Time
}

// New returns a Log without streams.
func New(s Settings) *Log {
	l := &Log{settings: s, streams: make(map[string]*stream), timers: make(map[*time.Timer]struct{})}
	if s.Rate > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(s.Rate), max(1, int(s.Rate/10)))
	}
	l.mux = http.NewServeMux()
	l.mux.HandleFunc("POST /streams/{stream}/records", l.handleAppend)
	l.mux.HandleFunc("GET /streams/{stream}/records", l.handleRead)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		standin.WriteError(w, http.StatusRequestEntityTooLarge, "append: %v", err)
		return
	}
	if !l.settings.Scale.Sleep(r.Context(), l.requestDelay()) {
		return
	}
	if l.checkOutage() {
		standin.WriteError(w, http.StatusServiceUnavailable, "log is down")
		return
	}
	if l.limiter != nil && !l.limiter.Allow() {
		l.updateStats(func(s *Stats) { s.RateLimited++ })
		standin.SetRetryAfter(w, rateRetryAfter)
		standin.WriteError(w, http.StatusTooManyRequests, "append rate exceeded")
		return
	}
	name := r.PathValue("stream")
	offset := l.append(name, data)
	f := l.takeFaults()
	if f.duplicates > 0 {
		l.appendLater(name, data, f.duplicateDelay)
	}
	if f.loseAnswers > 0 {
		l.updateStats(func(s *Stats) { s.LostAnswers++ })
		standin.BreakConnection()
	}
	if l.settings.Scale.Sleep(r.Context(), f.answerDelay) {
		standin.WriteJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
	}
}

// takeFaults returns the faults that apply to one append and decrements those that are limited to a number of
// appends.
func (l *Log) takeFaults() faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults
	l.faults.loseAnswers = max(0, f.loseAnswers-1)
	l.faults.duplicates = max(0, f.duplicates-1)
	return f
}

// checkOutage reports whether there is an outage and if so counts a refused request.
func (l *Log) checkOutage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.outage {
		l.stats.Refused++
	}
	return l.faults.outage
}

// append adds a record to a stream and returns its offset.
func (l *Log) append(name string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = append(s.records, storedRecord{data: data, at: time.Now()})
	l.stats.Appends++
	s.notify()
	return s.next() - 1
}

// appendLater repeats an append after a delay in simulated time, as if the network had delivered the request
// twice.
func (l *Log) appendLater(name string, data []byte, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(l.settings.Scale.Real(after), func() {
		l.append(name, data)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.stats.Duplicates++
		delete(l.timers, timer)
	})
	l.timers[timer] = struct{}{}
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "from: %v", err)
		return
	}
	l.updateStats(func(s *Stats) { s.Reads++ })
	if !l.settings.Scale.Sleep(r.Context(), l.requestDelay()) {
		return
	}
	pageBytes := queryInt(r, "max_bytes", defaultPageBytes)
	wait := min(time.Duration(queryInt(r, "wait_ms", 0))*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		page, changed := l.readPage(r.PathValue("stream"), from, pageBytes)
		if page.status != http.StatusOK || len(page.Records) > 0 {
			standin.WriteJSON(w, page.status, page)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			standin.WriteJSON(w, page.status, page)
			return
		}
	}
}

// pageRecord is a record in the response to a read.
type pageRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// page is the response to a read.
type page struct {
	status   int          // HTTP status
	Records  []pageRecord `json:"records"`
	Earliest uint64       `json:"earliest"`
	Next     uint64       `json:"next"`
}

// readPage returns the records from an offset on and a channel that is closed on the next change of the stream.
// It first deletes records older than the retention time.
func (l *Log) readPage(name string, from uint64, maxBytes int) (page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.expire(time.Now(), l.settings.Scale.Real(l.settings.Retention))
	p := page{status: http.StatusOK, Earliest: s.first, Next: s.next()}
	if l.faults.outage {
		l.stats.Refused++
		p.status = http.StatusServiceUnavailable
		return p, s.changed
	}
	if from < s.first {
		p.status = http.StatusGone
		return p, s.changed
	}
	size := 0
	for offset := from; offset < p.Next && (size == 0 || size < maxBytes); offset++ {
		data := s.records[offset-s.first].data
		p.Records = append(p.Records, pageRecord{Offset: offset, Data: data})
		size += max(1, len(data))
	}
	return p, s.changed
}

// stream returns the stream of the given name and creates it if needed. The caller holds the lock.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// next returns the offset of the next record to be appended.
func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

// notify wakes the reads that wait for a change.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire deletes the records older than retention, which is real time; 0 keeps all.
func (s *stream) expire(now time.Time, retention time.Duration) {
	if retention <= 0 {
		return
	}
	n := 0
	for n < len(s.records) && now.Sub(s.records[n].at) > retention {
		n++
	}
	s.dropFirst(n)
}

// dropFirst deletes the n oldest records.
func (s *stream) dropFirst(n int) {
	s.records = append([]storedRecord(nil), s.records[n:]...)
	s.first += uint64(n)
}

// queryInt returns a query parameter that is a number of 0 or above, or fallback.
func queryInt(r *http.Request, name string, fallback int) int {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil || n < 0 {
		return fallback
	}
	return n
}
