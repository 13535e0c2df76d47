package server

import (
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/wire"
)

// Reasons why an instance is not ready.
var (
	errStarting   = errors.New("starting: the log has not been read to its end")
	errNoManifest = errors.New("no manifest is in force")
	errDraining   = errors.New("draining")
	errStalled    = errors.New("the core loop does not answer")
	errNoLease    = errors.New("starting: a majority of the listed instances has not been heard yet")
)

// stallTimeout is the age of the view above which the core loop counts as stalled. The loop publishes
// a view at each tick.
const stallTimeout = 5 * time.Second

// firstLeaseWait bounds how long readiness of a starting instance waits for its first lease. Without
// a majority the instance can still forward requests and serve idempotent ones.
const firstLeaseWait = 8 * time.Second

// view is a copy of the core loop's state for other goroutines. It is replaced as a whole and never
// modified.
type view struct {
	publishedAt     time.Duration // on the clock of Instance.now
	readyErr        error
	acceptsPrograms bool
	manifest        *manifest.Manifest
	rawManifest     fsm.Manifest
	slots           []id.Slot
	peers           []id.Session
	status          wire.Status
}

// publishView replaces the view. It runs on the core loop.
func (c *core) publishView() {
	v := &view{publishedAt: c.inst.now(), acceptsPrograms: !c.draining, manifest: c.manifest, rawManifest: c.manifestRaw, peers: c.members.live()}
	v.readyErr = c.readiness()
	v.status = wire.Status{
		Session:         c.inst.session,
		Zone:            c.inst.cfg.Zone,
		Ready:           v.readyErr == nil,
		Draining:        c.draining,
		LogDown:         c.logDown,
		ManifestVersion: c.manifestVersion,
		ManifestAge:     c.inst.now() - c.manifestAt,
		Peers:           c.members.peerAges(),
	}
	if c.programs != nil {
		for s := range id.Slots {
			state := c.programs.Slot(id.Slot(s))
			if state.Holder != c.inst.session {
				continue
			}
			v.slots = append(v.slots, id.Slot(s))
			v.status.Slots = append(v.status.Slots, wire.SlotEpoch{Slot: id.Slot(s), Epoch: state.Epoch})
			c.programs.Each(id.Slot(s), func(p *fsm.Program) {
				if !p.Ended() {
					v.status.Programs++
				}
			})
		}
	}
	for pool, d := range c.dispatchers {
		if c.dispatcherOf(pool) == c.inst.session {
			v.status.Pools = append(v.status.Pools, c.poolStatus(pool, d))
		}
	}
	v.status.DeclaredVersion = c.declaredVersion()
	v.status.Needs, v.status.NeedsCount = c.attention.needs, c.attention.count
	c.inst.view.Store(v)
}

func (c *core) readiness() error {
	switch {
	case c.draining:
		return errDraining
	case c.manifest == nil:
		return errNoManifest
	case c.programsAtTail && c.leaseUntil == 0 && c.inst.now() < firstLeaseWait:
		return errNoLease
	case c.programsAtTail:
		return nil
	case c.members.knowsAllHolders():
		return nil // the log cannot be read; requests go to the owners that the peers report
	default:
		return errStarting
	}
}

// Ready implements api.Backend.
func (i *Instance) Ready() error {
	v := i.view.Load()
	switch {
	case v == nil:
		return errStarting
	case i.now()-v.publishedAt > stallTimeout:
		return errStalled
	default:
		return v.readyErr
	}
}

// Manifest implements api.Backend.
func (i *Instance) Manifest() *manifest.Manifest {
	if v := i.view.Load(); v != nil {
		return v.manifest
	}
	return nil
}

// ManifestVersion returns the version of the manifest in force, or 0 if there is none.
func (i *Instance) ManifestVersion() uint64 {
	if v := i.view.Load(); v != nil {
		return v.rawManifest.Version
	}
	return 0
}

// AcceptsPrograms implements api.Backend.
func (i *Instance) AcceptsPrograms() bool {
	v := i.view.Load()
	return v != nil && v.acceptsPrograms
}

// LocalSlot implements api.Backend.
func (i *Instance) LocalSlot() (id.Slot, bool) {
	v := i.view.Load()
	if v == nil || len(v.slots) == 0 {
		return 0, false
	}
	return v.slots[rand.IntN(len(v.slots))], true
}

// Slots returns the slots that this instance holds.
func (i *Instance) Slots() []id.Slot {
	if v := i.view.Load(); v != nil {
		return v.slots
	}
	return nil
}

func (i *Instance) status() wire.Status {
	if v := i.view.Load(); v != nil {
		return v.status
	}
	return wire.Status{Session: i.session, Zone: i.cfg.Zone}
}

// WriteMetrics implements api.Backend.
func (i *Instance) WriteMetrics(w io.Writer) {
	i.metrics.write(w)
	i.observer.write(w)
}
