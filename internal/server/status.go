package server

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
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
	errNoLease    = errors.New("starting: a majority of the listed instances has not been heard yet")
)

// leaseGrace ends the wait of a starting instance for its first lease: without a majority it can
// still forward requests and serve those that may be repeated.
const leaseGrace = 8 * time.Second

// statusTimeout bounds how long a status waits for the other instances.
const statusTimeout = time.Second

// view is what goroutines other than the loop may read of the loop's state. It is replaced, never
// changed.
type view struct {
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
	v := &view{accepts: !c.draining, manifest: c.manifest, raw: c.manifestRaw, peers: c.members.live()}
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
			v.status.Pools = append(v.status.Pools, wire.PoolStatus{Pool: pool, Waiting: d.sched.Waiting(), Running: len(d.grants)})
		}
	}
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
	if v := i.view.Load(); v != nil {
		return v.ready
	}
	return errStarting
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

// InstanceStatus is the state of one instance as operators see it.
type InstanceStatus struct {
	Session         id.Session `json:"session"`
	Zone            string     `json:"zone"`
	Ready           bool       `json:"ready"`
	Draining        bool       `json:"draining"`
	LogDown         bool       `json:"log_down"`
	ManifestVersion uint64     `json:"manifest_version"`
	Slots           int        `json:"slots"`
	Programs        int        `json:"programs"`
	Pools           []PoolLine `json:"pools"`
	Error           string     `json:"error,omitempty"` // why the instance did not answer
}

// PoolLine is the state of a pool at its dispatcher.
type PoolLine struct {
	Pool    string `json:"pool"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// FleetStatus is the state of all instances, as one of them sees it.
type FleetStatus struct {
	Instances []InstanceStatus `json:"instances"`
}

// Status implements api.Backend. It asks all live instances.
func (i *Instance) Status() any {
	out := FleetStatus{Instances: []InstanceStatus{statusLine(i.status())}}
	v := i.view.Load()
	if v == nil {
		return out
	}
	ctx, cancel := context.WithTimeout(i.ctx, statusTimeout)
	defer cancel()
	lines := make([]InstanceStatus, len(v.peers))
	var wg sync.WaitGroup
	for n, session := range v.peers {
		wg.Go(func() {
			m, err := i.node.Ask(ctx, session, wire.StatusGet{})
			if s, ok := m.(wire.Status); err == nil && ok {
				lines[n] = statusLine(s)
				return
			}
			lines[n] = InstanceStatus{Session: session, Pools: []PoolLine{}, Error: errText(err)}
		})
	}
	wg.Wait()
	out.Instances = append(out.Instances, lines...)
	return out
}

func statusLine(s wire.Status) InstanceStatus {
	line := InstanceStatus{Session: s.Session, Zone: s.Zone, Ready: s.Ready, Draining: s.Draining, LogDown: s.LogDown,
		ManifestVersion: s.ManifestVersion, Slots: len(s.Slots), Programs: s.Programs, Pools: []PoolLine{}}
	for _, p := range s.Pools {
		line.Pools = append(line.Pools, PoolLine(p))
	}
	return line
}

// WriteMetrics implements api.Backend.
func (i *Instance) WriteMetrics(w io.Writer) {
	i.metrics.write(w)
	i.observer.write(w)
}
