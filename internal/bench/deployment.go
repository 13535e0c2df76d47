package bench

import (
	"fmt"
	"time"

	"ragwortstile/internal/sched"
)

// deployment describes one of the two installations at today's size.
type deployment struct {
	name          string
	instances     int
	zones         int
	zoneDelay     time.Duration // one way between availability zones
	clientDelay   time.Duration // one way
	engines       []engineSpec
	services      []serviceSpec
	duties        []dutySpec
	weightLatency float64
	weightCache   float64
	queueLimit    int
	patience      time.Duration // of a caller, for each turn and for the start of a program
	length        time.Duration // time during which programs arrive
	move          bool          // engines export and import cache
}

type serviceSpec struct {
	name  string
	zone  int
	limit int
	speed float64
}

// dutySpec describes the programs of one duty.
type dutySpec struct {
	sched.Duty
	part      float64 // of the offered work
	teams     int
	turns     float64 // median number of turns
	turnsTail float64 // sigma of the logarithm
	maxTurns  int
	prefix    [2]int64 // range of the first prompt, tokens
	add       [2]int64 // range of the tokens that a later turn adds
	output    float64  // mean answer, tokens
	pause     float64  // median tool or reading pause, s
	pauseTail float64
	service   float64          // part of the turns that call a plain service
	subs      float64          // part of the turns that start sub-agents
	deadline  [2]time.Duration // range; zero: none
}

// speeds of the nine model servers relative to the mean one.
var speeds = []float64{1.6, 1.4, 1.2, 1.1, 1.0, 0.9, 0.8, 0.6, 0.5}

func engines(zones, limit int, cache int64, prefill, base, slope float64) []engineSpec {
	var out []engineSpec
	for i, v := range speeds {
		out = append(out, engineSpec{
			name: fmt.Sprintf("engine-%d", i+1), zone: i % zones,
			limit:       max(int(float64(limit)*(0.5+v/2)), 2),
			cacheTokens: int64(float64(cache) * (0.6 + 0.4*v)),
			prefillRate: prefill * v, tokenBase: base / v, tokenSlope: slope / v,
		})
	}
	return out
}

func services(zones, limit int) []serviceSpec {
	var out []serviceSpec
	for i, v := range speeds {
		out = append(out, serviceSpec{name: fmt.Sprintf("service-%d", i+1), zone: i % zones, limit: limit, speed: 1 / v})
	}
	return out
}

// deployments returns the installations by name.
func deployments() []deployment {
	return []deployment{
		{
			name: "bindery", instances: 13, zones: 4,
			zoneDelay: 500 * time.Microsecond, clientDelay: time.Millisecond,
			engines: engines(4, 14, 300_000, 5000, 0.018, 0.0009), services: services(4, 8),
			weightLatency: 0.4, weightCache: 0.6, queueLimit: 600,
			patience: 120 * time.Second, length: 1800 * time.Second, move: true,
			duties: []dutySpec{
				{Duty: sched.Duty{Name: "layout", Share: 0.35}, part: 0.4, teams: 3, turns: 9, turnsTail: 0.8, maxTurns: 60,
					prefix: [2]int64{6000, 16000}, add: [2]int64{150, 900}, output: 220, pause: 8, pauseTail: 0.9,
					service: 0.15, subs: 0.03},
				{Duty: sched.Duty{Name: "drafting", Share: 0.3}, part: 0.3, teams: 4, turns: 5, turnsTail: 0.7, maxTurns: 40,
					prefix: [2]int64{4000, 10000}, add: [2]int64{200, 1200}, output: 350, pause: 3, pauseTail: 0.8,
					service: 0.2, subs: 0.1, deadline: [2]time.Duration{300 * time.Second, 900 * time.Second}},
				{Duty: sched.Duty{Name: "archive", Share: 0.1}, part: 0.3, teams: 2, turns: 6, turnsTail: 0.9, maxTurns: 60,
					prefix: [2]int64{4000, 12000}, add: [2]int64{200, 1500}, output: 250, pause: 1, pauseTail: 0.7, service: 0.3},
			},
		},
		{
			name: "raintank", instances: 9, zones: 3,
			zoneDelay: time.Millisecond, clientDelay: 3 * time.Millisecond,
			engines: engines(3, 10, 48_000, 6000, 0.012, 0.0007), services: services(3, 8),
			weightLatency: 0.7, weightCache: 0.3, queueLimit: 400,
			patience: 30 * time.Second, length: 600 * time.Second, move: true,
			duties: []dutySpec{
				{Duty: sched.Duty{Name: "field", Share: 0.4}, part: 0.4, teams: 6, turns: 4, turnsTail: 0.6, maxTurns: 25,
					prefix: [2]int64{1500, 4000}, add: [2]int64{60, 400}, output: 90, pause: 1.5, pauseTail: 0.8, service: 0.5},
				{Duty: sched.Duty{Name: "routes", Share: 0.25}, part: 0.25, teams: 4, turns: 5, turnsTail: 0.7, maxTurns: 30,
					prefix: [2]int64{2000, 5000}, add: [2]int64{100, 600}, output: 130, pause: 0.8, pauseTail: 0.8, service: 0.4, subs: 0.05},
				{Duty: sched.Duty{Name: "orders", Share: 0.2}, part: 0.35, teams: 3, turns: 3, turnsTail: 0.7, maxTurns: 20,
					prefix: [2]int64{1000, 3000}, add: [2]int64{60, 300}, output: 70, pause: 0.5, pauseTail: 0.6, service: 0.7},
			},
		},
	}
}

// schedConfig returns the scheduler's configuration of the model pool or the service pool.
func (d deployment) schedConfig(model bool, opt sched.Options) sched.Config {
	cfg := sched.Config{
		Model: model, QueueLimit: d.queueLimit, WeightLatency: d.weightLatency, WeightCache: d.weightCache, Options: opt,
	}
	for _, u := range d.duties {
		cfg.Duties = append(cfg.Duties, u.Duty)
	}
	if !model {
		cfg.Pool = "services"
		for _, v := range d.services {
			cfg.Endpoints = append(cfg.Endpoints, sched.Endpoint{Name: v.name, Zone: zoneName(v.zone), MaxInFlight: v.limit})
		}
		return cfg
	}
	cfg.Pool = "model"
	for _, e := range d.engines {
		cfg.Endpoints = append(cfg.Endpoints, sched.Endpoint{
			Name: e.name, Zone: zoneName(e.zone), MaxInFlight: e.limit, CacheTokens: e.cacheTokens, CanExport: d.move,
		})
	}
	return cfg
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z+1) }
