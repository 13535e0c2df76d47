package server

import (
	"context"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/telemetry"
	"ragwortstile/internal/wire"
)

// manifestAskTimeout bounds one request for the manifest to a peer.
const manifestAskTimeout = 2 * time.Second

func (c *core) initConfigs(start uint64) {
	if c.configs != nil {
		return
	}
	c.configs = fsm.NewConfigs(c.inst.cfg.Retention, start)
	c.configs.Adopt(c.manifestRaw)
}

func (c *core) applyConfigEntry(offset uint64, b record.Batch, decoded bool) {
	c.initConfigs(offset)
	if !decoded {
		return
	}
	c.configs.Apply(offset, b)
	c.useManifest(c.configs.Current())
}

// adoptManifest uses a manifest from a peer that has read further in the log. Only the log assigns
// versions, so a higher version is newer regardless of its source.
func (c *core) adoptManifest(m fsm.Manifest) {
	if c.configs != nil {
		c.configs.Adopt(m)
	}
	c.useManifest(m)
}

// useManifest puts a manifest in force if it is newer than the current one.
func (c *core) useManifest(m fsm.Manifest) {
	if m.Version <= c.manifestVersion {
		return
	}
	parsed, err := manifest.FromLog(m.Data, m.Digest)
	if err != nil {
		// The publisher validates manifests, so this one was written by a newer binary or by another
		// tool.
		c.inst.log.Error("manifest_unusable", telemetry.Version(m.Version), telemetry.Err(err))
		return
	}
	c.manifest, c.manifestVersion, c.manifestRaw = parsed, m.Version, m
	c.manifestAt = c.inst.now()
	c.inst.log.Info("manifest_in_force", telemetry.Version(m.Version))
	c.inst.observer.setNames(parsed)
	c.step(program.SetManifest{Version: m.Version, Manifest: parsed})
	for pool, d := range c.dispatchers {
		d.step(sched.Configure{Config: c.poolConfig(pool)}, "")
	}
	c.inst.endpoints.setManifest(parsed)
	c.orders.configure()
	c.publishView()
}

// refreshManifest appends the manifest again before the log's retention removes it. Only the holder
// of slot 0 does so.
func (c *core) refreshManifest() {
	if c.configs == nil || !c.configsAtTail || c.holder(0) != c.inst.session {
		return
	}
	if c.claims.nextManifestRefresh > c.inst.now() {
		return
	}
	if r, due := c.configs.DueRefresh(time.Now()); due {
		c.claims.nextManifestRefresh = c.inst.now() + time.Minute
		_ = c.inst.configAppender.Add(r) // on failure, tried again after a minute
	}
}

// askManifest requests the manifest from a peer that has a newer version than this instance.
func (c *core) askManifest(from id.Session, version uint64) {
	if version <= c.manifestVersion || c.members.manifestAsked[from] {
		return
	}
	c.members.manifestAsked[from] = true
	go func() {
		ctx, cancel := context.WithTimeout(c.inst.ctx, manifestAskTimeout)
		defer cancel()
		m, err := c.inst.node.Request(ctx, from, wire.ManifestGet{Min: version})
		c.events.post(func() {
			delete(c.members.manifestAsked, from)
			if got, ok := m.(wire.Manifest); err == nil && ok && got.Version > 0 {
				c.adoptManifest(fsm.Manifest{Version: got.Version, Data: got.JSON, Digest: got.Digest})
			}
		})
	}()
}

// poolConfig returns the scheduler configuration of a pool, from the manifest and the set of leaving
// endpoints.
func (c *core) poolConfig(pool string) sched.Config {
	cfg := sched.Config{Pool: pool}
	m := c.manifest
	if m == nil {
		return cfg
	}
	cfg.WeightLatency, cfg.WeightCache = m.Weights.ProgramLatency, m.Weights.WastedCache
	for _, p := range m.Pools {
		if p.Name == pool {
			cfg.Model = p.Kind == manifest.PoolModel
			cfg.QueueLimit = p.QueueLimit
		}
	}
	for _, d := range m.Duties {
		for _, p := range d.Pools {
			if p == pool {
				cfg.Duties = append(cfg.Duties, sched.Duty{Name: d.Name, Share: d.Share})
			}
		}
	}
	for _, e := range m.Endpoints {
		if e.Pool == pool {
			cfg.Endpoints = append(cfg.Endpoints, sched.Endpoint{Name: e.Name, Zone: e.Zone, MaxInFlight: e.MaxInFlight,
				CacheTokens: e.CacheTokens, CanExport: e.CanExport, Leaving: c.members.state.EndpointIsLeaving(e.Name)})
		}
	}
	return cfg
}
