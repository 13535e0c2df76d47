package program

import (
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/record"
)

// Config holds what a Core needs to know about its instance.
type Config struct {
	Session id.Session
	Zone    string // availability zone, passed to dispatchers
	// StateMachine is the fold of the programs stream. The shell applies batches to it in the goroutine that
	// calls Step, and then passes each effect to Step as Applied.
	StateMachine *fsm.Programs
	// IdleLimit ends programs without a call for this long; 0: 24 h.
	IdleLimit time.Duration
}

// Core decides for the programs of the slots that its session holds. It is not safe for concurrent
// use.
type Core struct {
	cfg      Config
	fold     *fsm.Programs
	now      time.Duration
	wall     time.Time     // latest wall time the shell gave
	wallAt   time.Duration // when it was given
	out      []Action
	pools    poolIndex
	slots    [id.Slots]slot
	progs    map[id.Program]*prog
	attempts map[id.Attempt]*attempt
	asked    map[id.Attempt]*question // outcomes that are not certain, by attempt
	requests map[ReqID]*call          // callers that wait for a call
	opening  map[openKey]*opening
	pending  pendingQueue
	timers   timerHeap
	retries  map[string]float64 // retry budget per pool
	logDown  bool
	lease    time.Duration
	draining bool
	nextRef  uint64
	nextDue  time.Duration
}

// New returns a Core that holds no slot. It serves calls once SetManifest has set a manifest and the
// claim of a slot was read back.
func New(cfg Config) *Core {
	if cfg.IdleLimit == 0 {
		cfg.IdleLimit = 24 * time.Hour
	}
	return &Core{
		cfg:      cfg,
		fold:     cfg.StateMachine,
		progs:    map[id.Program]*prog{},
		attempts: map[id.Attempt]*attempt{},
		asked:    map[id.Attempt]*question{},
		requests: map[ReqID]*call{},
		opening:  map[openKey]*opening{},
		retries:  map[string]float64{},
	}
}

// Step takes an event at a time that never decreases, appends the resulting actions to out and
// returns it. The actions are to be carried out in order.
func (c *Core) Step(now time.Duration, ev Event, out []Action) []Action {
	c.now = max(c.now, now)
	c.out = out
	c.handle(ev)
	out = c.out
	c.out = nil
	return out
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case OpenProgram:
		c.onOpen(e)
	case OpenBranch:
		c.onOpenBranch(e)
	case ModelCall:
		c.onModelCall(e)
	case ServiceCall:
		c.onServiceCall(e)
	case SettleCall:
		c.onSettle(e)
	case JoinCall:
		c.onJoin(e)
	case EndProgram:
		c.onEnd(e)
	case ReadProgram:
		c.onRead(e)
	case ExplainProgram:
		c.onExplain(e)
	case CallerGone:
		c.onCallerGone(e)
	case Applied:
		c.onApplied(e.Effect)
	case LogState:
		c.onLogState(e)
	case CopiesStored:
		c.onCopied(e)
	case CopiesFetched:
		c.onCopiesFetched(e)
	case LeaseChanged:
		c.onLease(e)
	case Granted:
		c.onGranted(e.Grant)
	case Refused:
		c.onRefused(e.Refuse)
	case Progress:
		c.onProgress(e)
	case Finished:
		c.onFinished(e)
	case OutcomeReported:
		c.onAsked(e)
	case CacheReleased:
		c.onCacheReleased(e)
	case CacheHeld:
		c.onCacheHeld(e)
	case EngineRestarted:
		c.onEngineRestarted(e)
	case SetManifest:
		c.onSetManifest(e)
	case Draining:
		c.draining = true
	case Handover:
		c.onHandOver(e)
	case Tick:
		c.onTick(e)
	}
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) setWall(t time.Time) {
	if t.After(c.wallNow()) || c.wall.IsZero() {
		c.wall = t
		c.wallAt = c.now
	}
}

func (c *Core) wallNow() time.Time { return c.wall.Add(c.now - c.wallAt) }

// timeOf converts a wall time to the time of Step.
func (c *Core) timeOf(t time.Time) time.Duration { return c.now + t.Sub(c.wallNow()) }

// prog is a program of a held slot: the agreed state and the calls under way.
type prog struct {
	id   id.Program
	slot id.Slot
	// view is the agreed state plus the records that were appended and not yet read back. It is nil
	// until the program is first used.
	view      *fsm.Program
	unsettled int                 // records that were not read back
	calls     map[string]*call    // under way, by key
	queues    map[string][]*call  // per branch: the first call is the one under way
	reserved  record.Spend        // largest possible cost of the calls under way
	maybeRun  map[string]struct{} // keys of failed calls that may have been run
	inherited bool                // opened by another session, which may have run unrecorded calls
	touched   map[string]int      // endpoints that were sent a call, with the attempts running there
	ending    bool                // End was appended
	release   map[string]*releasing
	explain   []Decision
	active    time.Duration // last use
	pausedAt  map[string]time.Duration
	pause     time.Duration // expected length of a tool pause
	attained  time.Duration // service time
	raising   bool
	attemptNo int // last attempt number used under this epoch
	wallTimer *timer
	idleTimer *timer
}

// prog returns the entry of a known program in a held slot, or nil.
func (c *Core) prog(pid id.Program) *prog {
	state := c.fold.Program(pid)
	if p := c.progs[pid]; p != nil {
		if state != nil {
			return p
		}
		c.forget(p) // its tombstone has gone
		return nil
	}
	s, err := pid.Slot()
	if state == nil || err != nil || !c.slots[s].held {
		return nil
	}
	p := &prog{id: pid, slot: s, inherited: true}
	c.progs[pid] = p
	c.watchProgram(p, state)
	return p
}

// state returns the program's state with all records appended so far.
func (c *Core) state(p *prog) *fsm.Program {
	if p.view == nil {
		p.view = c.fold.Program(p.id).Clone()
	}
	return p.view
}

func (c *Core) holder(s id.Slot) record.Holder {
	return record.Holder{Slot: s, Epoch: c.slots[s].epoch}
}

// poolIndex gives access to the manifest by name.
type poolIndex struct {
	version    uint64
	pools      map[string]manifest.Pool
	duties     map[string]manifest.Duty
	operations map[opKey]manifest.Operation
	endpoints  map[string]manifest.Endpoint
	teams      map[string]manifest.Team
}

type opKey struct{ service, operation string }

func (c *Core) onSetManifest(e SetManifest) {
	if e.Manifest == nil || e.Version <= c.pools.version {
		return
	}
	ix := poolIndex{
		version:    e.Version,
		pools:      make(map[string]manifest.Pool, len(e.Manifest.Pools)),
		duties:     make(map[string]manifest.Duty, len(e.Manifest.Duties)),
		operations: map[opKey]manifest.Operation{},
		endpoints:  make(map[string]manifest.Endpoint, len(e.Manifest.Endpoints)),
		teams:      make(map[string]manifest.Team, len(e.Manifest.Teams)),
	}
	for _, t := range e.Manifest.Teams {
		ix.teams[t.Name] = t
	}
	for _, p := range e.Manifest.Pools {
		ix.pools[p.Name] = p
	}
	for _, d := range e.Manifest.Duties {
		ix.duties[d.Name] = d
	}
	for _, s := range e.Manifest.Services {
		for _, op := range s.Operations {
			ix.operations[opKey{s.Pool, op.Name}] = op
		}
	}
	for _, ep := range e.Manifest.Endpoints {
		ix.endpoints[ep.Name] = ep
	}
	c.pools = ix
	c.forgetRemovedEndpoints()
}
