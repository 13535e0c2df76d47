package replay

import (
	"fmt"
	"time"

	"ragwortstile/internal/balance"
)

// batchSlowdown is how much longer a turn takes at an engine whose slots are all in use.
const batchSlowdown = 0.2

// engine is a model of an endpoint: it serves as many turns at once as it has slots and queues some more in order
// of arrival.
type engine struct {
	balance.Endpoint
	queueSize int
	timeScale float64
	slowdown  float64 // present factor of its times
	gone      bool
	running   int
	waiting   []*work
}

// work is a turn at an engine.
type work struct {
	idle     time.Duration // time at an idle engine with a time scale of 1
	began    func(at time.Duration)
	ended    func()
	canceled bool
}

func newEngines(p Pattern) []*engine {
	var out []*engine
	for _, group := range p.Endpoints {
		for range group.Count {
			id := fmt.Sprintf("e%d", len(out))
			out = append(out, &engine{
				Endpoint:  balance.Endpoint{ID: id, Addr: id, Slots: group.Slots},
				queueSize: group.QueueSize, timeScale: group.TimeScale, slowdown: 1,
			})
		}
	}
	return out
}

// accept takes a turn, or refuses it if the queue is full.
func (e *engine) accept(s *simulation, w *work) bool {
	switch {
	case e.gone:
		return false
	case e.running < e.Slots:
		e.start(s, w)
	case len(e.waiting) < e.queueSize:
		e.waiting = append(e.waiting, w)
	default:
		return false
	}
	return true
}

func (e *engine) start(s *simulation, w *work) {
	e.running++
	w.began(s.now)
	took := float64(w.idle) * e.timeScale * e.slowdown * (1 + batchSlowdown*float64(e.running)/float64(e.Slots))
	s.after(time.Duration(took), func() {
		e.running--
		if !w.canceled {
			w.ended()
		}
		e.next(s)
	})
}

func (e *engine) next(s *simulation) {
	for len(e.waiting) > 0 && e.running < e.Slots {
		w := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !w.canceled {
			e.start(s, w)
		}
	}
}

// applyChanges sets what the changes that are active now do to the engines. Which engines a change concerns depends on
// their order alone.
func (s *simulation) applyChanges() {
	for i, e := range s.engines {
		e.slowdown, e.gone = 1, false
		for _, c := range s.pattern.Changes {
			// Spreads the share over the groups of endpoints.
			if !c.active(s.now) || float64(i*7%len(s.engines)) >= c.Share*float64(len(s.engines)) {
				continue
			}
			if c.Slowdown > 0 {
				e.slowdown *= c.Slowdown
			}
			e.gone = e.gone || c.Gone
		}
	}
	for i, instance := range s.instances {
		instance.cutOff = false
		for _, c := range s.pattern.Changes {
			if c.active(s.now) && float64(i*7%len(s.instances)) < c.CutOff*float64(len(s.instances)) {
				instance.cutOff = true
			}
		}
	}
}
