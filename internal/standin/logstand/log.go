// Package logstand is a stand-in for the platform's log: streams with offsets, retention, a rate
// limit over all appends, and faults that can be switched.
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
	maxAppendBytes = 1 << 20
	defaultPage    = 4 << 20
	maxWait        = 30 * time.Second
	rateRetry      = 50 * time.Millisecond
)

// Settings of a Log. They do not change while it runs.
type Settings struct {
	Scale     standin.Scale
	Retention time.Duration // model time that a record is kept; 0: for ever
	Rate      float64       // appends per second of real time in all; 0: no limit
}

// Log is the handler. Its methods switch faults and are safe for concurrent use.
type Log struct {
	settings Settings
	limiter  *rate.Limiter
	mux      *http.ServeMux

	mu      sync.Mutex
	streams map[string]*stream
	faults  faults
	stats   Stats
	timers  map[*time.Timer]struct{}
}

type faults struct {
	outage      bool
	delay       time.Duration // model time before an append or read is processed
	answerDelay time.Duration // model time between an append and its answer
	lose        int           // appends whose answer is still to be lost
	duplicate   int           // appends that are still to be repeated
	dupDelay    time.Duration
}

// Stats counts what the log did.
type Stats struct {
	Appends     int // that took effect, duplicates included
	RateLimited int // refused with 429
	Refused     int // refused with 503
	LostAnswers int // answers lost after the append took effect
	Duplicates  int
	Reads       int
}

type stream struct {
	first   uint64 // offset of records[0]
	records []stored
	changed chan struct{} // closed and replaced on each append and switch of the outage
}

type stored struct {
	data []byte
	at   time.Time
}

// New returns a Log.
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
	if !l.settings.Scale.Sleep(r.Context(), l.delay()) {
		return
	}
	if l.outage() {
		standin.WriteError(w, http.StatusServiceUnavailable, "log is down")
		return
	}
	if l.limiter != nil && !l.limiter.Allow() {
		l.count(func(s *Stats) { s.RateLimited++ })
		standin.SetRetryAfter(w, rateRetry)
		standin.WriteError(w, http.StatusTooManyRequests, "append rate exceeded")
		return
	}
	name := r.PathValue("stream")
	offset := l.append(name, data)
	f := l.takeFaults()
	if f.duplicate > 0 {
		l.appendLater(name, data, f.dupDelay)
	}
	if f.lose > 0 {
		l.count(func(s *Stats) { s.LostAnswers++ })
		standin.BreakConnection()
	}
	if l.settings.Scale.Sleep(r.Context(), f.answerDelay) {
		standin.WriteJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
	}
}

// takeFaults returns the faults of one append and counts down those that are limited in number.
func (l *Log) takeFaults() faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults
	l.faults.lose = max(0, f.lose-1)
	l.faults.duplicate = max(0, f.duplicate-1)
	return f
}

func (l *Log) outage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.outage {
		l.stats.Refused++
	}
	return l.faults.outage
}

func (l *Log) append(name string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = append(s.records, stored{data: data, at: time.Now()})
	l.stats.Appends++
	s.wake()
	return s.next() - 1
}

// appendLater repeats an append, as a network that delivers a request twice does.
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
	l.count(func(s *Stats) { s.Reads++ })
	if !l.settings.Scale.Sleep(r.Context(), l.delay()) {
		return
	}
	pageBytes := queryInt(r, "max_bytes", defaultPage)
	wait := min(time.Duration(queryInt(r, "wait_ms", 0))*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		page, changed := l.page(r.PathValue("stream"), from, pageBytes)
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

type entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type page struct {
	status   int
	Records  []entry `json:"records"`
	Earliest uint64  `json:"earliest"`
	Next     uint64  `json:"next"`
}

// page returns the records from an offset on and a channel that is closed on the next change.
func (l *Log) page(name string, from uint64, maxBytes int) (page, <-chan struct{}) {
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
		p.Records = append(p.Records, entry{Offset: offset, Data: data})
		size += max(1, len(data))
	}
	return p, s.changed
}

// stream returns a stream and makes it if needed. The caller holds the lock.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) expire(now time.Time, retention time.Duration) {
	if retention <= 0 {
		return
	}
	n := 0
	for n < len(s.records) && now.Sub(s.records[n].at) > retention {
		n++
	}
	s.drop(n)
}

func (s *stream) drop(n int) {
	s.records = append([]stored(nil), s.records[n:]...)
	s.first += uint64(n)
}

func queryInt(r *http.Request, name string, fallback int) int {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil || n < 0 {
		return fallback
	}
	return n
}
