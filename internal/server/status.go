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

// Reasons for which an instance is not ready.
var (
	errStarting   = errors.New("starting: the log has not been read to its end")
	errNoManifest = errors.New("no manifest is in force")
	errDraining   = errors.New("draining")
	errStalled    = errors.New("the core loop does not answer")
	errNoLease    = errors.New("starting: a majority of the listed instances has not been heard yet")
)

// stallTime is the age of the view from which on the loop counts as stalled; it publishes one with
// each tick.
const stallTime = 5 * time.Second

// leaseGrace ends the wait of a starting instance for its first lease: without a majority it can
// still forward requests and serve those that may be repeated.
const leaseGrace = 8 * time.Second

// view is what goroutines other than the loop may read of the loop's state. It is replaced, never
// changed.
type view struct {
	at       time.Duration // when it was published
	ready    error
	accepts  bool
	manifest *manifest.Manifest
	raw      fsm.Manifest
	slots    []id.Slot
	peers    []id.Session
	status   wire.Status
}

// publishView replaces the view. It runs on the loop.
func (c *core) publishView() {
	v := &view{at: c.inst.now(), accepts: !c.draining, manifest: c.manifest, raw: c.manifestRaw, peers: c.members.live()}
	v.ready = c.readiness()
	v.status = wire.Status{
		Session:         c.inst.session,
		Zone:            c.inst.cfg.Zone,
		Ready:           v.ready == nil,
		Draining:        c.draining,
		LogDown:         c.logDown,
		ManifestVersion: c.manifestVersion,
		ManifestAge:     c.inst.now() - c.manifestAt,
		Peers:           c.members.heard(),
	}
	if c.fold != nil {
		for s := range id.Slots {
			state := c.fold.Slot(id.Slot(s))
			if state.Holder != c.inst.session {
				continue
			}
			v.slots = append(v.slots, id.Slot(s))
			v.status.Slots = append(v.status.Slots, wire.SlotEpoch{Slot: id.Slot(s), Epoch: state.Epoch})
			c.fold.Each(id.Slot(s), func(p *fsm.Program) {
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
	v.status.Needs, v.status.NeedsCount = c.attention.list, c.attention.count
	c.inst.view.Store(v)
}

func (c *core) readiness() error {
	switch {
	case c.draining:
		return errDraining
	case c.manifest == nil:
		return errNoManifest
	case c.programsAtTail && c.lease == 0 && c.inst.now() < leaseGrace:
		return errNoLease
	case c.programsAtTail:
		return nil
	case c.members.knowsHolders():
		return nil // the log is down; requests go to the owners that the peers report
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
	case i.now()-v.at > stallTime:
		return errStalled
	default:
		return v.ready
	}
}

// Manifest implements api.Backend.
func (i *Instance) Manifest() *manifest.Manifest {
	if v := i.view.Load(); v != nil {
		return v.manifest
	}
	return nil
}

// ManifestVersion returns the version of the manifest in force, 0 if there is none.
func (i *Instance) ManifestVersion() uint64 {
	if v := i.view.Load(); v != nil {
		return v.raw.Version
	}
	return 0
}

// AcceptsPrograms implements api.Backend.
func (i *Instance) AcceptsPrograms() bool {
	v := i.view.Load()
	return v != nil && v.accepts
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
