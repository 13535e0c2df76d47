package bench

import (
	"time"

	"ragwortstile/internal/id"
)

// cacheKey identifies the cached prefix of one branch.
type cacheKey struct {
	program id.Program
	branch  string
}

// engineSpec holds the parameters of a simulated model engine.
type engineSpec struct {
	name        string
	zone        int
	limit       int     // calls that the dispatcher may have in flight there
	cacheTokens int64   // capacity of the prefix cache, which also holds the running calls
	prefillRate float64 // prompt tokens/s; prompts are computed one after the other
	tokenBase   float64 // s per output token, without the part that grows with the batch
	tokenSlope  float64 // s per output token, for each decoding call
}

// prefillSlowdown is the factor by which an output token takes longer while the engine computes a prompt.
const prefillSlowdown = 1.3

// job is one attempt at an engine or a service server. Lengths are in tokens.
type job struct {
	attempt      id.Attempt
	key          cacheKey
	duty         string
	prompt       int64
	output       int64
	arrivedAt    time.Duration
	firstTokenAt time.Duration // for a service call, the arrival
	cachedTokens int64         // prompt tokens found in the cache
	finishAt     float64       // value of engine.progress at the last token
	heapIndex    int
	entry        *entry
	done         func(*job, bool)
}

// entry is a cached prefix. The entries of an engine form a list, least recently used first.
type entry struct {
	key        cacheKey
	tokens     int64
	unread     int64 // tokens that were computed and not read since
	pins       int   // running calls that use the entry; it is not evicted, released or moved while above 0
	prev, next *entry
}

// engine simulates a model engine: continuous batching, prompts computed in arrival order, a prefix
// cache with least-recently-used eviction, no priorities.
type engine struct {
	engineSpec
	sim           *sim
	entries       map[cacheKey]*entry
	oldest        *entry
	newest        *entry
	usedTokens    int64 // sum of the tokens of all entries
	queue         []*job
	prefilling    *job
	decoding      []*job  // min-heap by finishAt
	progress      float64 // see advance
	progressAt    time.Duration
	decodeVersion int // incremented by schedule; a decode event of an older version is ignored
	generation    uint64
	dead          bool
	slowdown      float64 // factor on prompt and token times; 1 is normal
	failing       bool    // every new call fails on arrival
	wasted        int64   // tokens, see sim.countWaste
	filled        int64   // tokens computed into the cache
	outputDone    int64   // output tokens of finished calls
	onEvict       func(*engine, *entry)
}

func newEngine(s *sim, spec engineSpec) *engine {
	return &engine{engineSpec: spec, sim: s, entries: map[cacheKey]*entry{}, generation: 1, slowdown: 1}
}

// running returns the number of calls at the engine, queued ones included.
func (e *engine) running() int {
	n := len(e.decoding) + len(e.queue)
	if e.prefilling != nil {
		n++
	}
	return n
}

// arrive queues a call. A dead engine drops it, and a failing one fails it.
func (e *engine) arrive(j *job) {
	if e.dead {
		return
	}
	j.arrivedAt = e.sim.now
	if e.failing {
		j.done(j, false)
		return
	}
	e.queue = append(e.queue, j)
	e.startPrefill()
}

// startPrefill begins to compute the next prompt. If the call does not fit into the cache memory beside
// the running calls, it waits; on an idle engine it starts even so.
func (e *engine) startPrefill() {
	if e.prefilling != nil || len(e.queue) == 0 {
		return
	}
	j := e.queue[0]
	old := e.entries[j.key]
	have := int64(0)
	if old != nil {
		have = old.tokens
		old.pins++ // keeps makeRoom from evicting the prefix of this very call
	}
	fits := e.makeRoom(j.prompt + j.output - have)
	if old != nil {
		old.pins--
	}
	if !fits && e.busy() {
		return
	}
	e.advance()
	e.queue = e.queue[1:]
	e.prefilling = j
	j.cachedTokens = min(have, j.prompt)
	j.entry = e.touch(j.key)
	if j.cachedTokens > 0 {
		j.entry.unread = max(j.entry.unread-j.cachedTokens, 0)
	}
	e.usedTokens += max(j.prompt+j.output, have) - have
	j.entry.tokens = max(j.prompt+j.output, have)
	j.entry.unread += j.prompt - j.cachedTokens
	j.entry.pins++
	e.filled += j.prompt - j.cachedTokens
	e.schedule()
	d := seconds(float64(j.prompt-j.cachedTokens) / e.prefillRate * e.slowdown)
	gen := e.generation
	e.sim.after(d, func() { e.endPrefill(j, gen) })
}

func (e *engine) busy() bool { return e.prefilling != nil || len(e.decoding) > 0 }

func (e *engine) endPrefill(j *job, generation uint64) {
	if e.dead || e.generation != generation {
		return
	}
	e.advance()
	e.prefilling = nil
	j.firstTokenAt = e.sim.now
	j.finishAt = e.progress + float64(j.output)
	e.pushDecoding(j)
	e.startPrefill()
	e.schedule()
}

// tokenTime returns the current time per output token in s.
func (e *engine) tokenTime() float64 {
	t := (e.tokenBase + e.tokenSlope*float64(len(e.decoding))) * e.slowdown
	if e.prefilling != nil {
		t *= prefillSlowdown
	}
	return t
}

// advance updates progress, the number of output tokens that a call decoding since the start would have
// by now. All decoding calls share it because they advance at the same rate.
func (e *engine) advance() {
	if dt := (e.sim.now - e.progressAt).Seconds(); dt > 0 && len(e.decoding) > 0 {
		e.progress += dt / e.tokenTime()
	}
	e.progressAt = e.sim.now
}

// schedule sets the event for the next call to finish decoding. It must be called after each change of
// the batch, and after advance, because the change alters the time per token.
func (e *engine) schedule() {
	e.decodeVersion++
	if len(e.decoding) == 0 {
		return
	}
	v := e.decodeVersion
	left := max(e.decoding[0].finishAt-e.progress, 0)
	e.sim.after(seconds(left*e.tokenTime()), func() {
		if e.decodeVersion == v && !e.dead {
			e.endDecode()
		}
	})
}

// endDecode finishes the calls whose last token has been generated.
func (e *engine) endDecode() {
	e.advance()
	for len(e.decoding) > 0 && e.decoding[0].finishAt <= e.progress+1e-6 {
		j := e.popDecoding()
		e.finish(j)
		j.done(j, true)
	}
	e.startPrefill()
	e.schedule()
}

// finish unpins the entry of a finished call and counts its output tokens as filled and unread.
func (e *engine) finish(j *job) {
	j.entry.pins--
	j.entry.unread += j.output
	e.filled += j.output
	e.outputDone += j.output
	e.touch(j.key)
}

// kill stops the engine and fails its calls; the owners learn of it after failureNoticeDelay.
func (e *engine) kill() {
	e.dead = true
	var lost []*job
	lost = append(lost, e.queue...)
	lost = append(lost, e.decoding...)
	if e.prefilling != nil {
		lost = append(lost, e.prefilling)
	}
	e.queue, e.decoding, e.prefilling = nil, nil, nil
	for _, j := range lost {
		j.done(j, false)
	}
}

// touch makes the entry of a key the most recently used one and creates it if needed.
func (e *engine) touch(k cacheKey) *entry {
	en := e.entries[k]
	if en == nil {
		en = &entry{key: k}
		e.entries[k] = en
	} else {
		e.unlink(en)
	}
	en.prev = e.newest
	if e.newest != nil {
		e.newest.next = en
	} else {
		e.oldest = en
	}
	e.newest = en
	return en
}

func (e *engine) unlink(en *entry) {
	if en.prev != nil {
		en.prev.next = en.next
	} else {
		e.oldest = en.next
	}
	if en.next != nil {
		en.next.prev = en.prev
	} else {
		e.newest = en.prev
	}
	en.prev, en.next = nil, nil
}

// makeRoom evicts unpinned entries, least recently used first, until `need` tokens fit. It reports whether
// they fit.
func (e *engine) makeRoom(need int64) bool {
	for en := e.oldest; en != nil && e.usedTokens+need > e.cacheTokens; {
		next := en.next
		if en.pins == 0 {
			e.remove(en)
			e.sim.countWaste(e, en)
			if e.onEvict != nil {
				e.onEvict(e, en)
			}
		}
		en = next
	}
	return e.usedTokens+need <= e.cacheTokens
}

func (e *engine) remove(en *entry) {
	e.unlink(en)
	delete(e.entries, en.key)
	e.usedTokens -= en.tokens
}

// release drops the prefix of a branch on an order of the dispatcher or the owner. A prefix in use stays.
func (e *engine) release(k cacheKey) {
	en := e.entries[k]
	if en == nil || en.pins > 0 || e.dead {
		return
	}
	e.remove(en)
	e.sim.countWaste(e, en)
}

// importFrom moves the prefix of a branch here from another engine, which drops its copy. It returns the
// number of tokens of the prefix, or 0 if nothing was moved: the prefix is missing or in use, this engine
// already has as many tokens of it, or they do not fit.
func (e *engine) importFrom(src *engine, k cacheKey) int64 {
	en := src.entries[k]
	if en == nil || en.pins > 0 || src.dead || e.dead {
		return 0
	}
	have := int64(0)
	if own := e.entries[k]; own != nil {
		if own.pins > 0 || own.tokens >= en.tokens {
			return 0
		}
		have = own.tokens
	}
	if !e.makeRoom(en.tokens - have) {
		return 0
	}
	src.remove(en)
	own := e.touch(k)
	e.usedTokens += en.tokens - own.tokens
	own.tokens, own.unread = en.tokens, own.unread+en.unread
	return en.tokens
}

// pushDecoding adds a job to the heap of decoding calls.
func (e *engine) pushDecoding(j *job) {
	j.heapIndex = len(e.decoding)
	e.decoding = append(e.decoding, j)
	for i := j.heapIndex; i > 0; {
		p := (i - 1) / 2
		if e.decoding[p].finishAt <= e.decoding[i].finishAt {
			return
		}
		e.decoding[p], e.decoding[i] = e.decoding[i], e.decoding[p]
		i = p
	}
}

// popDecoding removes the job that finishes first from the heap of decoding calls.
func (e *engine) popDecoding() *job {
	j, last := e.decoding[0], len(e.decoding)-1
	e.decoding[0] = e.decoding[last]
	e.decoding = e.decoding[:last]
	for i := 0; ; {
		l := 2*i + 1
		if l >= last {
			return j
		}
		if r := l + 1; r < last && e.decoding[r].finishAt < e.decoding[l].finishAt {
			l = r
		}
		if e.decoding[i].finishAt <= e.decoding[l].finishAt {
			return j
		}
		e.decoding[i], e.decoding[l] = e.decoding[l], e.decoding[i]
		i = l
	}
}

// service simulates a service server. It runs its calls concurrently, and a new call takes longer
// the more calls are running.
type service struct {
	name       string
	zone       int
	limit      int
	timeFactor float64 // factor on the time of a call; above 1 is slower
	sim        *sim
	running    int
	dead       bool
	jobs       map[*job]bool
}

// serviceSlowdownPerCall is the fraction of its time by which a new call takes longer for each running call,
// itself included.
const serviceSlowdownPerCall = 0.03

// arrive runs a call that takes `base` on an idle server of time factor 1. A dead server drops it.
func (v *service) arrive(j *job, base time.Duration) {
	if v.dead {
		return
	}
	j.arrivedAt, j.firstTokenAt = v.sim.now, v.sim.now
	v.jobs[j] = true
	v.running++
	d := seconds(base.Seconds() * v.timeFactor * (1 + serviceSlowdownPerCall*float64(v.running)))
	v.sim.after(d, func() {
		if v.dead {
			return
		}
		v.running--
		delete(v.jobs, j)
		j.done(j, true)
	})
}
