package manifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// Index holds lookup tables for one manifest. It is immutable and safe for concurrent use; the
// manifest must not be changed after NewIndex.
type Index struct {
	Manifest  *Manifest
	teams     map[string]*Team
	duties    map[string]*Duty
	pools     map[string]*Pool
	endpoints map[string]*Endpoint
	byPool    map[string][]*Endpoint
	services  map[string]*Service
	keys      map[digestPrefix][]teamKey
}

// digestPrefix is the first bytes of a key digest, by which the candidates for a bearer key are found.
// Bearer keys are secret, but the first bytes of their SHA-256 reveal nothing useful about them, so the
// time of the map lookup may depend on these bytes.
type digestPrefix [4]byte

type teamKey struct {
	digest [sha256.Size]byte
	team   *Team
}

// NewIndex builds the index. If several entries have the same name, which Check reports as an error,
// the last one is used.
func NewIndex(m *Manifest) *Index {
	x := &Index{
		Manifest:  m,
		teams:     make(map[string]*Team, len(m.Teams)),
		duties:    make(map[string]*Duty, len(m.Duties)),
		pools:     make(map[string]*Pool, len(m.Pools)),
		endpoints: make(map[string]*Endpoint, len(m.Endpoints)),
		byPool:    make(map[string][]*Endpoint, len(m.Pools)),
		services:  make(map[string]*Service, len(m.Services)),
		keys:      make(map[digestPrefix][]teamKey, len(m.Teams)),
	}
	for i := range m.Teams {
		x.addTeam(&m.Teams[i])
	}
	for i := range m.Duties {
		x.duties[m.Duties[i].Name] = &m.Duties[i]
	}
	for i := range m.Pools {
		x.pools[m.Pools[i].Name] = &m.Pools[i]
	}
	for i := range m.Endpoints {
		e := &m.Endpoints[i]
		x.endpoints[e.Name] = e
		x.byPool[e.Pool] = append(x.byPool[e.Pool], e)
	}
	for i := range m.Services {
		x.services[m.Services[i].Pool] = &m.Services[i]
	}
	return x
}

func (x *Index) addTeam(t *Team) {
	x.teams[t.Name] = t
	for _, text := range t.KeyDigests {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			continue // reported by Check; no bearer key matches it
		}
		k := teamKey{digest: [sha256.Size]byte(raw), team: t}
		x.keys[digestPrefix(raw)] = append(x.keys[digestPrefix(raw)], k)
	}
}

// TeamByKey returns the team of a bearer key, or nil. Each candidate digest is compared in constant
// time.
func (x *Index) TeamByKey(key string) *Team {
	sum := sha256.Sum256([]byte(key))
	var found *Team
	for _, k := range x.keys[digestPrefix(sum[:])] {
		if subtle.ConstantTimeCompare(k.digest[:], sum[:]) == 1 {
			found = k.team
		}
	}
	return found
}

// KeyDigest returns the digest of a bearer key in the form of Team.KeyDigests.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Team returns the team with that name, or nil.
func (x *Index) Team(name string) *Team { return x.teams[name] }

// Duty returns the duty with that name, or nil.
func (x *Index) Duty(name string) *Duty { return x.duties[name] }

// DutyOf returns the duty with that name if it lists the team, or nil. An empty name means the team's
// default duty.
func (x *Index) DutyOf(t *Team, name string) *Duty {
	if name == "" {
		name = t.DefaultDuty
	}
	d := x.duties[name]
	if d == nil || !slices.Contains(d.Teams, t.Name) {
		return nil
	}
	return d
}

// Pool returns the pool with that name, or nil.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// PoolOf returns the pool with that name if it has the kind and the duty lists it, or nil.
func (x *Index) PoolOf(d *Duty, name string, kind PoolKind) *Pool {
	p := x.pools[name]
	if p == nil || p.Kind != kind || !slices.Contains(d.Pools, name) {
		return nil
	}
	return p
}

// Endpoint returns the endpoint with that name, or nil.
func (x *Index) Endpoint(name string) *Endpoint { return x.endpoints[name] }

// EndpointsOf returns the endpoints of a pool in manifest order. The caller must not modify the slice.
func (x *Index) EndpointsOf(pool string) []*Endpoint { return x.byPool[pool] }

// DutiesOf returns the duties that list a pool, in manifest order.
func (x *Index) DutiesOf(pool string) []*Duty {
	var duties []*Duty
	for i := range x.Manifest.Duties {
		if d := &x.Manifest.Duties[i]; slices.Contains(d.Pools, pool) {
			duties = append(duties, d)
		}
	}
	return duties
}

// Operation returns an operation of a service, or nil.
func (x *Index) Operation(service, operation string) *Operation {
	s := x.services[service]
	if s == nil {
		return nil
	}
	for i := range s.Operations {
		if s.Operations[i].Name == operation {
			return &s.Operations[i]
		}
	}
	return nil
}
