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

// core holds the state machines (cores) of an instance and the state that connects them. The core loop
// owns it; its methods run on the loop only.
type core struct {
	inst   *Instance
	events *events

	programs       *fsm.Programs // replicated state of the programs stream; nil until the stream's first offset is known
	owner          *program.Core // decides for the slots held here; nil while programs is nil
	configs        *fsm.Configs  // replicated state of the config stream; nil until the stream's first offset is known
	programsAtTail bool
	configsAtTail  bool
	logDown        bool
	backlog        []record.Record // records that did not fit the appender's buffer, in order

	manifest        *manifest.Manifest
	manifestVersion uint64
	manifestRaw     fsm.Manifest
	manifestAt      time.Duration // when the manifest came into force here

	members    *members
	leaseUntil time.Duration // end of the latest lease that was passed to the owner core; 0: none yet
	claims     claimState

	requests map[program.ReqID]*request
	lastReq  program.ReqID
	parked   []*request

	orders            *orders
	submissions       map[id.Attempt]*submission
	dispatchers       map[string]*dispatcher
	nextRunningReport time.Duration // when the running calls are next reported to the dispatchers

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

// step passes an event to the owner core and executes its actions.
func (c *core) step(ev program.Event) {
	c.inst.observer.observeEvent(ev)
	if c.owner == nil {
		return
	}
	for _, a := range c.owner.Step(c.inst.now(), ev, nil) {
		c.act(a)
	}
}

// tick advances the time of all cores and runs the periodic work of the loop.
func (c *core) tick() {
	now := c.inst.now()
	c.membershipTick(now)
	c.flushBacklog()
	c.step(program.Tick{Now: time.Now()})
	for _, d := range c.dispatchers {
		d.step(sched.Tick{}, "")
	}
	c.refreshSubmissions()
	c.reportRunning(now)
	c.claimSlots(now)
	c.routeParked()
	c.refreshManifest()
	c.orders.step(order.Tick{})
	c.observeTick(now)
	c.refreshAttention(now)
	c.publishView()
}

// applyEntry applies one log entry to the replicated state machine of its stream. An entry whose
// batch could not be decoded still fixes the first offset of the stream, so that the state machine
// can be created.
func (c *core) applyEntry(stream string, offset uint64, b record.Batch, decoded bool) {
	if stream == streamConfig {
		c.applyConfigEntry(offset, b, decoded)
		return
	}
	c.initPrograms(offset)
	if !decoded {
		return
	}
	for _, e := range c.programs.Apply(offset, b) {
		c.handleEffect(e)
	}
}

// initPrograms creates the state machine of the programs stream and the owner core once the first
// offset of the stream is known. The owner core then gets the state that was known before.
func (c *core) initPrograms(start uint64) {
	if c.programs != nil {
		return
	}
	c.programs = fsm.NewPrograms(c.inst.cfg.Retention, start)
	c.owner = program.New(program.Config{Session: c.inst.session, Zone: c.inst.cfg.Zone, StateMachine: c.programs})
	if c.manifest != nil {
		c.step(program.SetManifest{Version: c.manifestVersion, Manifest: c.manifest})
	}
	c.step(program.LeaseChanged{Until: c.leaseUntil})
	c.step(program.LogState{Down: c.logDown})
	if c.draining {
		c.step(program.Draining{})
	}
}

func (c *core) handleEffect(e fsm.Effect) {
	c.observeEffect(e)
	c.trackClaim(e)
	c.orders.handleEffect(e)
	c.step(program.Applied{Effect: e})
}

// atTail records that the stream has been read up to its end.
func (c *core) atTail(stream string, next uint64) {
	if stream == streamConfig {
		c.initConfigs(next)
		c.configsAtTail = true
		return
	}
	c.initPrograms(next)
	c.programsAtTail = true
}

func (c *core) setLogDown(down bool) {
	c.logDown = down
	c.step(program.LogState{Down: down})
}

// append passes records to the group commit. While the appender's buffer is full, as after minutes
// without the log, the records wait in the backlog in order.
func (c *core) append(records []record.Record) {
	c.backlog = append(c.backlog, records...)
	c.flushBacklog()
}

func (c *core) flushBacklog() {
	for len(c.backlog) > 0 {
		if err := c.inst.programAppender.Add(c.backlog...); err == nil {
			c.backlog = nil
			return
		}
		first := c.backlog[0]
		err := c.inst.programAppender.Add(first)
		if err != nil && !errors.Is(err, logservice.ErrTooLarge) {
			return
		}
		c.backlog = c.backlog[1:]
		if err != nil {
			c.rejectTooLarge(first)
		}
	}
}

// rejectTooLarge reports a record that exceeds the size of any append to the owner core as never
// valid. Otherwise it would block all records behind it.
func (c *core) rejectTooLarge(r record.Record) {
	c.inst.log.Error("record_rejected", telemetry.Reason("too_large"), telemetry.Count(int(r.Kind())))
	c.events.deferTask(func() {
		c.step(program.Applied{Effect: fsm.Effect{Writer: c.inst.session, Record: r, Verdict: fsm.OutOfOrder}})
	})
}

// holder returns the session that holds a slot as far as this instance knows: according to the log
// or, until the log has been read to its end, according to the heartbeats of the peers.
func (c *core) holder(s id.Slot) id.Session {
	if c.programs != nil && c.programsAtTail {
		return c.programs.Slot(s).Holder
	}
	return c.members.holderOf(s)
}

func (c *core) reachable(session id.Session) bool { return c.members.reachable(session) }
