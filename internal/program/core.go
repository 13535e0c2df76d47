package program

import (
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/record"
)

// Config configures a Core.
type Config struct {
	Session id.Session
	Zone    string // availability zone, passed to the dispatchers
	// StateMachine is the replicated state machine of the programs stream. The shell applies batches to it
	// in the goroutine that calls Step, and then passes each effect to Step as Applied.
	StateMachine *fsm.Programs
	// IdleLimit is how long a program may be without a call before it is ended; 0: 24 h.
	IdleLimit time.Duration
}

// Core runs the programs in the slots that its session holds. It is not safe for concurrent use.
type Core struct {
	cfg            Config
	sm             *fsm.Programs
	now            time.Duration
	wallTime       time.Time     // latest wall time that the shell passed
	wallTimeSetAt  time.Duration // time of Step at which wallTime was passed
	out            []Action
	pools          poolIndex
	slots          [id.Slots]slot
	progs          map[id.Program]*prog
	attempts       map[id.Attempt]*attempt
	outcomeQueries map[id.Attempt]*outcomeQuery // by attempt
	requests       map[ReqID]*call              // calls by the requests of their callers
	opening        map[openKey]*opening
	pending        pendingQueue
	timers         timerHeap
	retryBudgets   map[string]float64 // retries available, per pool
	logDown        bool
	leaseUntil     time.Duration
	draining       bool
	nextCopyRef    uint64
	nextRewrite    time.Duration
}

// New returns a Core that holds no slot. It serves calls once SetManifest has activated a manifest and
// the claim of a slot was read back.
func New(cfg Config) *Core {
	if cfg.IdleLimit == 0 {
		cfg.IdleLimit = 24 * time.Hour
	}
	return &Core{
		cfg:            cfg,
		sm:             cfg.StateMachine,
		progs:          map[id.Program]*prog{},
		attempts:       map[id.Attempt]*attempt{},
		outcomeQueries: map[id.Attempt]*outcomeQuery{},
		requests:       map[ReqID]*call{},
		opening:        map[openKey]*opening{},
		retryBudgets:   map[string]float64{},
	}
}

// Step handles an event, appends the resulting actions to out and returns it. The time now must not
// decrease between calls. The actions must be carried out in order.
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
		c.onCopiesStored(e)
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
		c.onOutcomeReported(e)
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
		c.onHandover(e)
	case Tick:
		c.onTick(e)
	}
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) setWall(t time.Time) {
	if t.After(c.wallNow()) || c.wallTime.IsZero() {
		c.wallTime = t
		c.wallTimeSetAt = c.now
	}
}

func (c *Core) wallNow() time.Time { return c.wallTime.Add(c.now - c.wallTimeSetAt) }

// stepTime converts a wall time to a time of Step.
func (c *Core) stepTime(t time.Time) time.Duration { return c.now + t.Sub(c.wallNow()) }

// prog is a program in a held slot: its state and its calls under way.
type prog struct {
	id   id.Program
	slot id.Slot
	// view is the state in the replicated state machine plus the records that were appended and not yet
	// read back. It is nil until the program is first used.
	view          *fsm.Program
	unconfirmed   int                 // number of records not yet read back
	calls         map[string]*call    // under way, by key
	queues        map[string][]*call  // by branch; only the first call of a queue is started
	reserved      record.Spend        // upper bound of the cost of the calls under way
	maybeRun      map[string]struct{} // keys of failed calls that may have run
	inherited     bool                // opened by another session, which may have run calls that it did not record
	usedEndpoints map[string]int      // running attempts by endpoint, for each endpoint that was sent a model call
	ending        bool                // the End record was appended
	releases      map[string]*cacheRelease
	decisions     []Decision
	lastUse       time.Duration            // last request or activity
	pausedAt      map[string]time.Duration // by branch: when its last answer became durable
	toolPause     time.Duration            // expected time between an answer and the next call
	serviceTime   time.Duration            // total time of its attempts at endpoints
	raisePending  bool
	attemptNo     int // last attempt number that was used under this epoch
	wallTimer     *timer
	idleTimer     *timer
}

// prog returns the entry of a program in a held slot, or nil if the program is unknown.
func (c *Core) prog(pid id.Program) *prog {
	state := c.sm.Program(pid)
	if p := c.progs[pid]; p != nil {
		if state != nil {
			return p
		}
		c.removeProgram(p) // its tombstone was removed
		return nil
	}
	s, err := pid.Slot()
	if state == nil || err != nil || !c.slots[s].held {
		return nil
	}
	p := &prog{id: pid, slot: s, inherited: true}
	c.progs[pid] = p
	c.startLimitTimers(p, state)
	return p
}

// state returns the view of a program: its state with all records appended so far.
func (c *Core) state(p *prog) *fsm.Program {
	if p.view == nil {
		p.view = c.sm.Program(p.id).Clone()
	}
	return p.view
}

func (c *Core) holder(s id.Slot) record.Holder {
	return record.Holder{Slot: s, Epoch: c.slots[s].epoch}
}

// poolIndex indexes the entries of the active manifest by name.
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
	c.endReleasesAtRemovedEndpoints()
}
