package bench

import (
	"time"

	"ragwortstile/internal/id"
)

// cacheKey names the prefix of one branch.
type cacheKey struct {
	program id.Program
	branch  string
}

// engineSpec describes a model engine stand-in.
type engineSpec struct {
	name        string
	zone        int
	limit       int     // calls that a dispatcher may have in flight there
	cacheTokens int64   // prefix memory
	prefillRate float64 // tokens/s, prompts are computed one after the other
	tokenBase   float64 // s per output token with no other call
	tokenSlope  float64 // s per output token and running call
}

// prefillDrag is the factor by which decoding slows while a prompt is computed on the same engine.
const prefillDrag = 1.3

// job is one call at an engine.
type job struct {
	attempt  id.Attempt
	key      cacheKey
	duty     string
	prompt   int64
	output   int64
	arrived  time.Duration
	first    time.Duration // time of the first token
	hit      int64
	finishAt float64 // progress at which the last token is made
	index    int
	entry    *entry
	done     func(*job, bool)
}

// entry is a cached prefix. Entries form a list, least recently used first.
type entry struct {
	key        cacheKey
	tokens     int64
	unreused   int64 // filled and not read since
	pins       int
	prev, next *entry
}

// engine is a small model engine: continuous batching, prompts computed in arrival order, a prefix
// cache with least-recently-used eviction, no priorities.
type engine struct {
	engineSpec
	sim        *sim
	entries    map[cacheKey]*entry
	oldest     *entry
	newest     *entry
	used       int64
	queue      []*job
	prefilling *job
	decoding   []*job // heap by finishAt
	progress   float64
	progressAt time.Duration
	version    int // of the pending decode event
	generation uint64
	dead       bool
	slow       float64 // factor on all times
	failing    bool    // every new call fails at once
	wasted     int64
	filled     int64
	outputDone int64
	onEvict    func(*engine, *entry)
}

func newEngine(s *sim, spec engineSpec) *engine {
	return &engine{engineSpec: spec, sim: s, entries: map[cacheKey]*entry{}, generation: 1, slow: 1}
}

func (e *engine) running() int {
	n := len(e.decoding) + len(e.queue)
	if e.prefilling != nil {
		n++
	}
	return n
}

// arrive admits a call as it comes.
func (e *engine) arrive(j *job) {
	if e.dead {
		return
	}
	j.arrived = e.sim.now
	if e.failing {
		j.done(j, false)
		return
	}
	e.queue = append(e.queue, j)
	e.startPrefill()
}

// startPrefill begins the computation of the next prompt if its memory fits beside the running calls.
func (e *engine) startPrefill() {
	if e.prefilling != nil || len(e.queue) == 0 {
		return
	}
	j := e.queue[0]
	old := e.entries[j.key]
	have := int64(0)
	if old != nil {
		have = old.tokens
		old.pins++ // not evicted to make room for its own call
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
	j.hit = min(have, j.prompt)
	j.entry = e.touch(j.key)
	if j.hit > 0 {
		j.entry.unreused = max(j.entry.unreused-j.hit, 0)
	}
	e.used += max(j.prompt+j.output, have) - have
	j.entry.tokens = max(j.prompt+j.output, have)
	j.entry.unreused += j.prompt - j.hit
	j.entry.pins++
	e.filled += j.prompt - j.hit
	e.schedule()
	d := seconds(float64(j.prompt-j.hit) / e.prefillRate * e.slow)
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
	j.first = e.sim.now
	j.finishAt = e.progress + float64(j.output)
	e.push(j)
	e.startPrefill()
	e.schedule()
}

// unitTime is the current time per output token.
func (e *engine) unitTime() float64 {
	t := (e.tokenBase + e.tokenSlope*float64(len(e.decoding))) * e.slow
	if e.prefilling != nil {
		t *= prefillDrag
	}
	return t
}

// advance brings the common decode progress, in tokens per call, up to now.
func (e *engine) advance() {
	if dt := (e.sim.now - e.progressAt).Seconds(); dt > 0 && len(e.decoding) > 0 {
		e.progress += dt / e.unitTime()
	}
	e.progressAt = e.sim.now
}

// schedule plans the next end of a call. It is called after each change of the batch, after advance.
func (e *engine) schedule() {
	e.version++
	if len(e.decoding) == 0 {
		return
	}
	v := e.version
	left := max(e.decoding[0].finishAt-e.progress, 0)
	e.sim.after(seconds(left*e.unitTime()), func() {
		if e.version == v && !e.dead {
			e.endDecode()
		}
	})
}

func (e *engine) endDecode() {
	e.advance()
	for len(e.decoding) > 0 && e.decoding[0].finishAt <= e.progress+1e-6 {
		j := e.pop()
		e.finish(j)
		j.done(j, true)
	}
	e.startPrefill()
	e.schedule()
}

func (e *engine) finish(j *job) {
	j.entry.pins--
	j.entry.unreused += j.output
	e.filled += j.output
	e.outputDone += j.output
	e.touch(j.key)
}

// kill ends the engine; its calls fail when their owners notice.
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

// touch makes an entry the most recently used one and creates it if needed.
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

// makeRoom evicts the least recently used entries that no call uses until `need` tokens fit.
func (e *engine) makeRoom(need int64) bool {
	for en := e.oldest; en != nil && e.used+need > e.cacheTokens; {
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
	return e.used+need <= e.cacheTokens
}

func (e *engine) remove(en *entry) {
	e.unlink(en)
	delete(e.entries, en.key)
	e.used -= en.tokens
}

// release drops the prefix of a branch at the dispatcher's or the owner's order.
func (e *engine) release(k cacheKey) {
	en := e.entries[k]
	if en == nil || en.pins > 0 || e.dead {
		return
	}
	e.remove(en)
	e.sim.countWaste(e, en)
}

// importFrom takes over the prefix of a branch from another engine. The source gives its copy up.
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
	e.used += en.tokens - own.tokens
	own.tokens, own.unreused = en.tokens, own.unreused+en.unreused
	return en.tokens
}

func (e *engine) push(j *job) {
	j.index = len(e.decoding)
	e.decoding = append(e.decoding, j)
	for i := j.index; i > 0; {
		p := (i - 1) / 2
		if e.decoding[p].finishAt <= e.decoding[i].finishAt {
			return
		}
		e.decoding[p], e.decoding[i] = e.decoding[i], e.decoding[p]
		i = p
	}
}

func (e *engine) pop() *job {
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

// service is a plain service server: it runs its calls side by side and slows down with their number.
type service struct {
	name    string
	zone    int
	limit   int
	speed   float64 // factor on the time of a call
	sim     *sim
	running int
	dead    bool
	jobs    map[*job]bool
}

// serviceSlope is the part by which one running call lengthens a new one.
const serviceSlope = 0.03

func (v *service) arrive(j *job, base time.Duration) {
	if v.dead {
		return
	}
	j.arrived, j.first = v.sim.now, v.sim.now
	v.jobs[j] = true
	v.running++
	d := seconds(base.Seconds() * v.speed * (1 + serviceSlope*float64(v.running)))
	v.sim.after(d, func() {
		if v.dead {
			return
		}
		v.running--
		delete(v.jobs, j)
		j.done(j, true)
	})
}
