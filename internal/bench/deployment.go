package bench

import (
	"fmt"
	"time"

	"ragwortstile/internal/sched"
)

// deployment describes an installation: its instances, endpoints, duties and scheduling settings.
type deployment struct {
	name          string
	instances     int
	zones         int
	zoneDelay     time.Duration // one way, between availability zones
	clientDelay   time.Duration // one way, between a caller and its instance
	engines       []engineSpec
	services      []serviceSpec
	duties        []dutySpec
	weightLatency float64 // weights of the two costs in the scheduler's choice of an endpoint
	weightCache   float64
	queueLimit    int           // calls that wait in a pool, at most
	patience      time.Duration // how long a caller retries a turn, or the start of a program, before it gives up
	length        time.Duration // time during which programs arrive; faults and windows are parts of it
	cacheTransfer bool          // engines can export and import cached prefixes
}

// serviceSpec describes a service server.
type serviceSpec struct {
	name       string
	zone       int
	limit      int     // calls that the dispatcher may have in flight there
	timeFactor float64 // factor on the time of a call; above 1 is slower
}

// dutySpec holds the parameters of the distributions that the programs of one duty are drawn from.
type dutySpec struct {
	sched.Duty
	workFraction     float64 // fraction of the offered output tokens
	teams            int     // programs are spread unevenly over them
	medianTurns      float64 // of the main branch
	turnsSigma       float64 // sigma of the log-normal distribution
	maxTurns         int
	firstPrompt      [2]int64         // tokens of the first prompt, from and to
	addedTokens      [2]int64         // tokens that each later turn adds to the prompt, from and to
	meanOutput       float64          // tokens of an answer
	medianPause      float64          // s, tool or reading pause after a turn
	pauseSigma       float64          // sigma of the log-normal distribution
	serviceFraction  float64          // fraction of the turns that call a service
	subAgentFraction float64          // fraction of the turns that start sub-agents
	deadline         [2]time.Duration // after arrival, from and to; zero: none
}

// serverSpeeds are the speeds of the nine servers of each pool relative to a server of speed 1.0.
var serverSpeeds = []float64{1.6, 1.4, 1.2, 1.1, 1.0, 0.9, 0.8, 0.6, 0.5}

// engines returns one engine per entry of serverSpeeds, spread over the zones in turn. The arguments are
// the values of an engine of speed 1.0, in the units of engineSpec; the limit and the cache grow less than
// in proportion to the speed.
func engines(zones, limit int, cache int64, prefill, base, slope float64) []engineSpec {
	var out []engineSpec
	for i, v := range serverSpeeds {
		out = append(out, engineSpec{
			name: fmt.Sprintf("engine-%d", i+1), zone: i % zones,
			limit:       max(int(float64(limit)*(0.5+v/2)), 2),
			cacheTokens: int64(float64(cache) * (0.6 + 0.4*v)),
			prefillRate: prefill * v, tokenBase: base / v, tokenSlope: slope / v,
		})
	}
	return out
}

// services returns one service server per entry of serverSpeeds, spread over the zones in turn.
func services(zones, limit int) []serviceSpec {
	var out []serviceSpec
	for i, v := range serverSpeeds {
		out = append(out, serviceSpec{name: fmt.Sprintf("service-%d", i+1), zone: i % zones, limit: limit, timeFactor: 1 / v})
	}
	return out
}

// deployments returns the deployments that the bench runs, at their present sizes.
func deployments() []deployment {
	return []deployment{
		{
			name: "bindery", instances: 13, zones: 4,
			zoneDelay: 500 * time.Microsecond, clientDelay: time.Millisecond,
			engines: engines(4, 14, 300_000, 5000, 0.018, 0.0009), services: services(4, 8),
			weightLatency: 0.4, weightCache: 0.6, queueLimit: 600,
			patience: 120 * time.Second, length: 1800 * time.Second, cacheTransfer: true,
			duties: []dutySpec{
				{Duty: sched.Duty{Name: "layout", Share: 0.35}, workFraction: 0.4, teams: 3,
					medianTurns: 9, turnsSigma: 0.8, maxTurns: 60,
					firstPrompt: [2]int64{6000, 16000}, addedTokens: [2]int64{150, 900}, meanOutput: 220,
					medianPause: 8, pauseSigma: 0.9, serviceFraction: 0.15, subAgentFraction: 0.03},
				{Duty: sched.Duty{Name: "drafting", Share: 0.3}, workFraction: 0.3, teams: 4,
					medianTurns: 5, turnsSigma: 0.7, maxTurns: 40,
					firstPrompt: [2]int64{4000, 10000}, addedTokens: [2]int64{200, 1200}, meanOutput: 350,
					medianPause: 3, pauseSigma: 0.8, serviceFraction: 0.2, subAgentFraction: 0.1,
					deadline: [2]time.Duration{300 * time.Second, 900 * time.Second}},
				{Duty: sched.Duty{Name: "archive", Share: 0.1}, workFraction: 0.3, teams: 2,
					medianTurns: 6, turnsSigma: 0.9, maxTurns: 60,
					firstPrompt: [2]int64{4000, 12000}, addedTokens: [2]int64{200, 1500}, meanOutput: 250,
					medianPause: 1, pauseSigma: 0.7, serviceFraction: 0.3},
			},
		},
		{
			name: "raintank", instances: 9, zones: 3,
			zoneDelay: time.Millisecond, clientDelay: 3 * time.Millisecond,
			engines: engines(3, 10, 48_000, 6000, 0.012, 0.0007), services: services(3, 8),
			weightLatency: 0.7, weightCache: 0.3, queueLimit: 400,
			patience: 30 * time.Second, length: 600 * time.Second, cacheTransfer: true,
			duties: []dutySpec{
				{Duty: sched.Duty{Name: "field", Share: 0.4}, workFraction: 0.4, teams: 6,
					medianTurns: 4, turnsSigma: 0.6, maxTurns: 25,
					firstPrompt: [2]int64{1500, 4000}, addedTokens: [2]int64{60, 400}, meanOutput: 90,
					medianPause: 1.5, pauseSigma: 0.8, serviceFraction: 0.5},
				{Duty: sched.Duty{Name: "routes", Share: 0.25}, workFraction: 0.25, teams: 4,
					medianTurns: 5, turnsSigma: 0.7, maxTurns: 30,
					firstPrompt: [2]int64{2000, 5000}, addedTokens: [2]int64{100, 600}, meanOutput: 130,
					medianPause: 0.8, pauseSigma: 0.8, serviceFraction: 0.4, subAgentFraction: 0.05},
				{Duty: sched.Duty{Name: "orders", Share: 0.2}, workFraction: 0.35, teams: 3,
					medianTurns: 3, turnsSigma: 0.7, maxTurns: 20,
					firstPrompt: [2]int64{1000, 3000}, addedTokens: [2]int64{60, 300}, meanOutput: 70,
					medianPause: 0.5, pauseSigma: 0.6, serviceFraction: 0.7},
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
			Name: e.name, Zone: zoneName(e.zone), MaxInFlight: e.limit, CacheTokens: e.cacheTokens, CanExport: d.cacheTransfer,
		})
	}
	return cfg
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z+1) }
