package server

import (
	"errors"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/logservice"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/order"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/telemetry"
)

// core is the state that the loop owns. Its methods run on the loop only.
type core struct {
	inst   *Instance
	events *events

	fold           *fsm.Programs // nil until the first offset of the stream is known
	owner          *program.Core // nil as long as fold
	configs        *fsm.Configs  // nil until the first offset of the stream is known
	programsAtTail bool
	configsAtTail  bool
	logDown        bool
	backlog        []record.Record // records that the appender had no room for

	manifest        *manifest.Manifest
	manifestVersion uint64
	manifestRaw     fsm.Manifest
	manifestAt      time.Duration

	members *members
	lease   time.Duration
	claims  claimState

	requests map[program.ReqID]*request
	lastReq  program.ReqID
	parked   []*request

	orders      *orders
	submissions map[id.Attempt]*submission
	dispatchers map[string]*dispatcher
	nextSync    time.Duration // of the report of running calls

	draining  bool
	attention attention
}

func newCore(i *Instance) *core {
	c := &core{
		inst:        i,
		events:      newEvents(),
		requests:    map[program.ReqID]*request{},
		submissions: map[id.Attempt]*submission{},
		dispatchers: map[string]*dispatcher{},
		claims:      newClaimState(),
	}
	c.members = newMembers(i)
	c.orders = newOrders(c)
	return c
}

// step gives an event to the owner core and carries out its actions.
func (c *core) step(ev program.Event) {
	c.inst.observer.event(ev)
	if c.owner == nil {
		return
	}
	for _, a := range c.owner.Step(c.inst.now(), ev, nil) {
		c.act(a)
	}
}

// tick advances the time of all cores.
func (c *core) tick() {
	now := c.inst.now()
	c.membershipTick(now)
	c.flushBacklog()
	c.step(program.Tick{Now: time.Now()})
	for _, d := range c.dispatchers {
		d.step(sched.Tick{}, "")
	}
	c.followDispatchers()
	c.syncRunning(now)
	c.claimSlots(now)
	c.routeParked()
	c.refreshManifest()
	c.orders.step(order.Tick{})
	c.observeTick(now)
	c.look(now)
	c.publishView()
}

// entry folds one log entry. A batch that could not be decoded still moves the position.
func (c *core) entry(stream string, offset uint64, b record.Batch, decoded bool) {
	if stream == streamConfig {
		c.configEntry(offset, b, decoded)
		return
	}
	c.startPrograms(offset)
	if !decoded {
		return
	}
	for _, e := range c.fold.Apply(offset, b) {
		c.applied(e)
	}
}

// startPrograms makes the owner core when the first offset of the stream is known.
func (c *core) startPrograms(start uint64) {
	if c.fold != nil {
		return
	}
	c.fold = fsm.NewPrograms(c.inst.cfg.Retention, start)
	c.owner = program.New(program.Config{Session: c.inst.session, Zone: c.inst.cfg.Zone, StateMachine: c.fold})
	if c.manifest != nil {
		c.step(program.SetManifest{Version: c.manifestVersion, Manifest: c.manifest})
	}
	c.step(program.LeaseChanged{Until: c.lease})
	c.step(program.LogState{Down: c.logDown})
	if c.draining {
		c.step(program.Draining{})
	}
}

func (c *core) applied(e fsm.Effect) {
	c.observeEffect(e)
	c.noteClaim(e)
	c.orders.applied(e)
	c.step(program.Applied{Effect: e})
}

// atTail notes that everything that the log holds has been read.
func (c *core) atTail(stream string, next uint64) {
	if stream == streamConfig {
		c.startConfigs(next)
		c.configsAtTail = true
		return
	}
	c.startPrograms(next)
	c.programsAtTail = true
}

func (c *core) logState(down bool) {
	c.logDown = down
	c.step(program.LogState{Down: down})
}

// append hands records to the group commit. When its buffer is full, as after minutes without the
// log, they wait here in order.
func (c *core) append(records []record.Record) {
	c.backlog = append(c.backlog, records...)
	c.flushBacklog()
}

func (c *core) flushBacklog() {
	for len(c.backlog) > 0 {
		if err := c.inst.programs.Add(c.backlog...); err == nil {
			c.backlog = nil
			return
		}
		first := c.backlog[0]
		err := c.inst.programs.Add(first)
		if err != nil && !errors.Is(err, logservice.ErrTooLarge) {
			return
		}
		c.backlog = c.backlog[1:]
		if err != nil {
			c.rejectTooLarge(first)
		}
	}
}

// rejectTooLarge tells the owner core that a record that fits no append will never be valid. Without
// this it would hold up all records behind it.
func (c *core) rejectTooLarge(r record.Record) {
	c.inst.log.Error("record_rejected", telemetry.Reason("too_large"), telemetry.Count(int(r.Kind())))
	c.events.later(func() {
		c.step(program.Applied{Effect: fsm.Effect{Writer: c.inst.session, Record: r, Verdict: fsm.OutOfOrder}})
	})
}

// holder returns the session that holds a slot, as far as this instance knows: from the log or,
// while the log can't be read, from what the peers say about themselves.
func (c *core) holder(s id.Slot) id.Session {
	if c.fold != nil && c.programsAtTail {
		return c.fold.Slot(s).Holder
	}
	return c.members.holderOf(s)
}

func (c *core) reachable(session id.Session) bool { return c.members.reachable(session) }
