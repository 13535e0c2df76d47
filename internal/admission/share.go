package admission

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// MaxReported is the number of teams in a load report. They are those with the most service at the sender.
	MaxReported = 8
	// minReportedMilli leaves teams out of reports that use less than a fiftieth of a slot at the sender.
	minReportedMilli = 20
	// serviceTime is the time constant of the moving average of attained service: long enough to cover the pauses
	// between the turns of programs, short enough to show a surge within a few reports.
	serviceTime = 500 * time.Millisecond
	// demandTime is the time constant of the moving average of refused demand.
	demandTime = time.Second
	// attemptsPerRefusal is how often a program that cannot begin is refused: callers try once more after Retry-After.
	attemptsPerRefusal = 2
	// reportTTL is how long the report of a peer is used, as for its load.
	reportTTL = 600 * time.Millisecond
	// refreshInterval is the time between computations of the level, which sorts all active teams.
	refreshInterval = 20 * time.Millisecond
	// manyInterval replaces refreshInterval for more than manyTeams teams: with 2,500, a computation takes some 0.5 ms, and
	// the reports of peers come once in this time.
	manyInterval = 100 * time.Millisecond
	manyTeams    = 500
	// idleAfter is the time without service after which a team is forgotten. Its counter is not lower when it returns,
	// because a new account starts at the minimum of the active ones.
	idleAfter = 10 * time.Second
	// minLevel is the lowest level, in slots. It keeps the time until a team may begin programs finite.
	minLevel = 0.05
	// idleService is the service, in slots, below which a team counts as idle.
	idleService = 0.01
	// tokenWeight is the part of a turn's service that is measured by its tokens; the rest is slot time.
	tokenWeight = 0.5
	// tokenSmoothing is the weight of the newest turn in the mean slot time of a token.
	tokenSmoothing = 0.02

	// minReserve and maxReserve bound the part of the slots that is kept from teams over their share for the teams within
	// theirs, as far as those have demand. With 0.1 alone, the noise of the load cost the latter 2 to 6% of their programs
	// in a surge; with 0.15 alone, large teams were refused at a usual load of 0.65.
	minReserve = 0.1
	maxReserve = 0.15
	// protectedLimit and lowProtectedLimit replace FirstLimit and lowFirstLimit for teams within their share while another
	// team asks for more than its own: the begun programs of that team fill endpoints for some seconds after its first
	// turns are refused.
	protectedLimit    = 0.95
	lowProtectedLimit = 0.9
	// demandTolerance is the demand of a team, as a multiple of its share, up to which none of its programs are refused
	// because of the share: near its share the noise of the measures is as large as what a refusal would free.
	demandTolerance = 1.5
	// shareTolerance is how far a team may exceed its share before its first turns are refused. Urgent routes get
	// urgentTolerance, so that they are refused later than the others of the team.
	shareTolerance  = 0.1
	urgentTolerance = 0.25
	// pacedPart is the part of its share from which a team is paced while room is scarce: its programs begin at the rate
	// that keeps it at its share. Without it all instances let programs begin at the same time, as soon as the service of
	// the team falls below its share, which they know with a lag.
	pacedPart = 0.8
	// paceMemory is the time after which a team that was not paced starts anew.
	paceMemory = time.Second
	// programSmoothing is the time constant of the means that give the service of a program.
	programSmoothing = 10 * time.Second
	// defaultProgramService is assumed for a program, in slot seconds, until the service has been measured.
	defaultProgramService = 1.0
	// leastPart is the part of what it would get by its demand alone that each team may use, however large: all teams are
	// to be served at least a quarter as often as all of them on average.
	leastPart = 0.25
	// leastSlots is the least that a share falls to, in slots that this instance sees: an instance that is cut off sees so
	// little that a single turn of a large team exceeds its part of the level.
	leastSlots = 1.0
	// usualTime is the time constant of the usual service of a team, and usualPart times it is the least that its share
	// falls to: in a surge of another team the level comes close to what large teams use without any surge of theirs, and
	// their service varies by a third. What was lent for longer than usualTime is given back in about the same time.
	usualTime = 10 * time.Second
	usualPart = 1.5
	// lowWeight is the weight of the share of teams whose priority is not the highest.
	lowWeight = 0.5
)

// Attained is the service that a team attains at an instance, as load reports carry it.
type Attained struct {
	Service string // of the endpoints
	Team    string // empty: callers without a team
	Milli   int    // thousandths of a slot, on average over about serviceTime
	Wanted  int    // thousandths of a slot that programs refused by the sender would have used, over about demandTime
}

// Capacity is what the endpoints of a service have and what is in use.
type Capacity struct {
	Slots     float64
	Occupancy float64 // load as a share of the slots
	// Part is the part of the load that this instance sees, by the number of instances that it hears. What teams attain and
	// may use is in the same measure.
	Part float64
}

// Standing is what a team has attained compared with its share.
type Standing struct {
	Attained   float64 // slots in use by the team over all instances, as a moving average
	Share      float64 // slots that the team may use now; +Inf while there is room for all
	Counter    float64 // virtual counter: slot seconds since the team became active
	Over       bool    // the first turn is refused
	Crowded    bool    // another team asks for more than its share
	shared     bool    // set: the capacity is divided among teams
	RetryAfter time.Duration
}

// Limited reports whether there is too little room for all, so that Share is finite.
func (s Standing) Limited() bool { return s.shared && !math.IsInf(s.Share, 1) }

// Shares divides the capacity of one service among teams. It measures the service that each team attains at this
// instance, adds what peers report, and finds the level up to which all teams can be served (max-min fairness): teams
// below the level get what they ask for, and what they leave is lent to the others. It is not safe for concurrent use.
type Shares struct {
	service    string
	accounts   map[string]*account
	list       []*account // the same, in the order of their beginning
	peers      map[string]peerServices
	rand       *rand.Rand
	began      float64 // programs that began here, and
	spent      float64 // slot seconds of turns that ended here, both with programSmoothing
	smoothed   time.Time
	tokenTime  float64 // moving average of the slot seconds of a token; 0: unknown
	refreshed  time.Time
	level      float64  // slots
	over       []string // teams with a demand above the level
	demands    float64  // slots that all teams would use
	load       float64  // slots in use at the endpoints, moving average over serviceTime like that of the teams
	minCounter float64  // of active teams
}

// account is what is known of a team.
type account struct {
	name    string
	peers   peerSum // over the reports of all peers
	running int     // turns of this instance at endpoints
	rate    float64 // slots in use by this instance, moving average up to updated
	wanted  float64 // slots that programs refused here would have used, moving average up to updated
	updated time.Time
	counter float64
	allowed float64 // programs that may begin while the team is paced
	paced   time.Time

	// As of the last refresh:
	attained   float64 // slots in use over all instances
	demand     float64 // slots that the team would use if none of its programs were refused
	usual      float64 // moving average, over usualTime or over age if that is less, of attained divided by the part of the load that is seen
	age        time.Duration
	active     bool
	lastActive time.Time
}

// peerSum adds up what peers report of a team.
type peerSum struct {
	milli, wanted, reporters int
}

// peerServices is the newest report of a peer.
type peerServices struct {
	list []Attained
	at   time.Time
}

// NewShares returns the shares of a service without active teams. The seed spreads the paces of instances.
func NewShares(service string, seed uint64) *Shares {
	return &Shares{
		service:  service,
		rand:     rand.New(rand.NewPCG(seed, 0)),
		accounts: make(map[string]*account), peers: make(map[string]peerServices), level: math.Inf(1),
	}
}

// account returns the account of a team. That of a team that was idle starts at the minimum of the counters of the
// active teams: idle time gives no claim to later service.
func (s *Shares) account(name string, now time.Time) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{name: name, updated: now, lastActive: now, counter: s.minCounter}
		s.accounts[name] = a
		s.list = append(s.list, a)
	}
	return a
}

// update brings the moving averages up to the present.
func (a *account) update(now time.Time) {
	passed := now.Sub(a.updated)
	if passed <= 0 {
		return
	}
	a.updated = now
	if a.rate != float64(a.running) {
		a.rate = float64(a.running) + (a.rate-float64(a.running))*math.Exp(-passed.Seconds()/serviceTime.Seconds())
	}
	if a.wanted != 0 {
		a.wanted *= math.Exp(-passed.Seconds() / demandTime.Seconds())
	}
}

// service returns the slots in use by the team over all instances, and those that it would use if none of its programs
// were refused.
func (a *account) service(now time.Time) (attained, demand float64) {
	a.update(now)
	attained = a.rate + float64(a.peers.milli)/1000
	return attained, attained + a.wanted + float64(a.peers.wanted)/1000
}

// smooth decays the means of programs and their service.
func (s *Shares) smooth(now time.Time) {
	if passed := now.Sub(s.smoothed); passed > 0 {
		keep := math.Exp(-passed.Seconds() / programSmoothing.Seconds())
		s.began, s.spent, s.smoothed = s.began*keep, s.spent*keep, now
	}
}

// programService returns the mean service of a program, in slot seconds.
func (s *Shares) programService() float64 {
	if s.began < 1 || s.spent == 0 {
		return defaultProgramService
	}
	return s.spent / s.began
}

// Sent records that a turn of a team was sent to an endpoint, and whether it begins a program.
func (s *Shares) Sent(team string, first bool, now time.Time) {
	s.smooth(now)
	if first {
		s.began++
	}
	a := s.account(team, now)
	a.update(now)
	a.running++
}

// refused records that a program of a team could not begin here.
func (s *Shares) refused(team string, now time.Time) {
	a := s.account(team, now)
	a.update(now)
	a.wanted += s.programService() / attemptsPerRefusal / demandTime.Seconds()
}

// Ended records that a turn of a team has ended at its endpoint, the time that it took a slot for and the tokens of its
// response. Its slot time has been counted while it ran. It is corrected by what its tokens usually take, so that the
// sum over all teams stays the slot time.
func (s *Shares) Ended(team string, took time.Duration, tokens int64, now time.Time) {
	a := s.account(team, now)
	a.update(now)
	a.running = max(a.running-1, 0)
	s.smooth(now)
	s.spent += max(took.Seconds(), 0)
	if tokens <= 0 || took <= 0 {
		return
	}
	each := took.Seconds() / float64(tokens)
	if s.tokenTime == 0 {
		s.tokenTime = each
	}
	correction := tokenWeight * (float64(tokens)*s.tokenTime - took.Seconds()) / serviceTime.Seconds()
	a.rate = max(a.rate+correction, 0)
	s.tokenTime += tokenSmoothing * (each - s.tokenTime)
}

// own returns the service that the teams attain at this instance.
func (s *Shares) own(now time.Time) []Attained {
	var out []Attained
	for _, a := range s.list {
		a.update(now)
		if milli := int(a.rate*1000 + 0.5); milli >= minReportedMilli || a.wanted*1000 >= minReportedMilli {
			out = append(out, Attained{Service: s.service, Team: a.name, Milli: milli, Wanted: int(a.wanted*1000 + 0.5)})
		}
	}
	return out
}

// setPeer stores the report of a peer, which replaces the previous one.
func (s *Shares) setPeer(name string, list []Attained, now time.Time) {
	s.dropPeer(name, now)
	if len(list) > 0 {
		s.peers[name] = peerServices{list: list, at: now}
		s.addPeer(list, 1, now)
	}
}

func (s *Shares) dropPeer(name string, now time.Time) {
	if r, ok := s.peers[name]; ok {
		s.addPeer(r.list, -1, now)
		delete(s.peers, name)
	}
}

// addPeer adds a report to the sums over all peers; with sign -1 it removes it. It leaves out other services and values
// that no instance sends.
func (s *Shares) addPeer(list []Attained, sign int, now time.Time) {
	for _, r := range list {
		if r.Service != s.service || r.Milli < 0 || r.Wanted < 0 {
			continue
		}
		sum := &s.account(r.Team, now).peers
		sum.milli += sign * r.Milli
		sum.wanted += sign * r.Wanted
		sum.reporters += sign
	}
}

// refresh drops old reports, advances the counters and computes the level.
func (s *Shares) refresh(c Capacity, now time.Time) {
	passed := now.Sub(s.refreshed)
	if passed < refreshInterval || passed < manyInterval && len(s.list) > manyTeams {
		return
	}
	s.refreshed = now
	for name, r := range s.peers {
		if now.Sub(r.at) >= reportTTL {
			s.dropPeer(name, now)
		}
	}
	demands, total := make([]float64, 0, len(s.list)), 0.0
	s.demands = 0
	s.list = slices.DeleteFunc(s.list, func(a *account) bool {
		a.attained, a.demand = a.service(now)
		total += a.attained
		if a.demand >= idleService {
			demands, s.demands = append(demands, a.demand), s.demands+a.demand
			return false
		}
		if a.running > 0 || a.peers.reporters > 0 || now.Sub(a.lastActive) < idleAfter {
			return false
		}
		delete(s.accounts, a.name)
		return true
	})
	s.advanceCounters(min(passed, reportTTL), c.Part, now)
	slices.SortFunc(demands, func(a, b float64) int { return cmp.Compare(b, a) })
	// The load that reports do not explain is that of teams too small for them, which are below the level.
	s.load += (c.Occupancy*c.Slots - s.load) * (1 - math.Exp(-passed.Seconds()/serviceTime.Seconds()))
	small := max(s.load-total, 0)
	s.demands += small
	s.level = level(demands, usable(s.demands, c.Slots*c.Part)-small)
	s.over = s.over[:0]
	for _, a := range s.list {
		if a.demand > s.level {
			s.over = append(s.over, a.name)
		}
	}
}

// advanceCounters adds to each counter what the team has attained since the last time. The counter of a team that
// returns from idle is raised to the minimum of those of the teams that have been active.
func (s *Shares) advanceCounters(passed time.Duration, part float64, now time.Time) {
	least, usual := math.Inf(1), 1-math.Exp(-passed.Seconds()/usualTime.Seconds())
	for _, a := range s.list {
		if a.active && a.attained >= idleService {
			least = min(least, a.counter)
		}
	}
	if !math.IsInf(least, 1) {
		s.minCounter = least
	}
	for _, a := range s.list {
		wasActive := a.active
		a.active = a.attained >= idleService
		if !a.active {
			continue
		}
		if !wasActive {
			a.counter = max(a.counter, s.minCounter)
		}
		a.lastActive = now
		a.counter += a.attained * passed.Seconds()
		a.age += passed
		a.usual += (a.attained/part - a.usual) * max(usual, passed.Seconds()/a.age.Seconds())
	}
}

// usable returns the slots to divide among teams. The reserve grows from minReserve to maxReserve as the demand exceeds
// what programs may fill.
func usable(demand, slots float64) float64 {
	return slots * (FirstLimit - min(maxReserve, minReserve+max(demand/slots-FirstLimit, 0)))
}

// level returns the service up to which all teams can be served with a capacity: +Inf if it suffices for all, otherwise
// that at which the teams with a greater demand get equal parts of what the others leave. demands are in descending
// order.
func level(demands []float64, capacity float64) float64 {
	excess := -capacity
	for _, demand := range demands {
		excess += demand
	}
	if excess <= 0 || len(demands) == 0 {
		return math.Inf(1)
	}
	sum := 0.0
	for i, demand := range demands {
		sum += demand
		next := 0.0
		if i+1 < len(demands) {
			next = demands[i+1]
		}
		if at := (sum - excess) / float64(i+1); at >= next {
			return max(at, minLevel)
		}
	}
	return minLevel
}

// standing compares what a team has attained with its share, for a first turn of a route. begins is false if it is only
// asked whether a program may begin.
func (s *Shares) standing(name string, priority, routePriority int, c Capacity, begins bool, now time.Time) Standing {
	s.refresh(c, now)
	a := s.account(name, now)
	attained, demand := a.service(now)
	out := Standing{shared: true, Attained: attained, Share: s.level, Counter: a.counter}
	out.Crowded = len(s.over) > 1 || len(s.over) == 1 && s.over[0] != name
	if math.IsInf(s.level, 1) {
		return out
	}
	// Others are kept room for only as far as they have demand: the rest is lent.
	reserved := maxReserve * c.Slots * c.Part
	out.Share += reserved - min(reserved, max(s.demands-demand, 0))
	if priority > 0 {
		out.Share *= lowWeight
	}
	out.Share = max(out.Share, usualPart*a.usual*c.Part, leastPart*min(c.Slots*c.Part/s.demands, 1)*demand, leastSlots)
	tolerance := shareTolerance
	if routePriority == 0 {
		tolerance = urgentTolerance
	}
	if demand <= out.Share*demandTolerance && out.Attained <= out.Share*(1+urgentTolerance) {
		return out
	}
	switch {
	case out.Attained > out.Share*(1+tolerance):
		out.Over = true
		// Without new programs the moving average falls to the share in this time.
		out.RetryAfter = boundRetryAfter(time.Duration(math.Log(out.Attained/out.Share) * float64(serviceTime)))
	case out.Attained > out.Share*pacedPart:
		if wait := s.pace(a, out, begins, now); wait > 0 {
			out.Over, out.RetryAfter = true, boundRetryAfter(wait)
		}
	}
	return out
}

// pace returns 0 if a program of the team may begin here now, or the time until one may. Over all instances that serve the
// team, programs begin at the rate that takes up its share, and faster while the team is below it.
func (s *Shares) pace(a *account, standing Standing, begins bool, now time.Time) time.Duration {
	below := standing.Share / standing.Attained
	perSecond := below * below * standing.Share / s.programService() / float64(a.peers.reporters+1)
	if now.Sub(a.paced) >= paceMemory {
		a.allowed = 1 - s.rand.ExpFloat64()
	} else {
		a.allowed = min(a.allowed+now.Sub(a.paced).Seconds()*perSecond, 1)
	}
	a.paced = now
	if a.allowed < 1 {
		return time.Duration((1 - a.allowed) / perSecond * float64(time.Second))
	}
	if begins {
		a.allowed -= s.rand.ExpFloat64()
	}
	return 0
}

// Level returns the slots that each team may use, and false while there is room for all.
func (s *Shares) Level() (float64, bool) { return s.level, !math.IsInf(s.level, 1) }

// Sharing holds the shares of all services.
type Sharing struct {
	services map[string]*Shares
	seed     uint64
}

// NewSharing returns a Sharing without services.
func NewSharing(seed uint64) *Sharing {
	return &Sharing{services: make(map[string]*Shares), seed: seed}
}

// Of returns the shares of a service.
func (s *Sharing) Of(service string) *Shares {
	shares := s.services[service]
	if shares == nil {
		shares = NewShares(service, s.seed+uint64(len(s.services)))
		s.services[service] = shares
	}
	return shares
}

// Each calls f for each service.
func (s *Sharing) Each(f func(service string, shares *Shares)) {
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		f(name, s.services[name])
	}
}

// Prune forgets the services that are not listed.
func (s *Sharing) Prune(listed func(service string) bool) {
	for name := range s.services {
		if !listed(name) {
			delete(s.services, name)
		}
	}
}

// Report returns the teams with the most service at this instance, at most MaxReported, in descending order.
func (s *Sharing) Report(now time.Time) []Attained {
	var all []Attained
	for _, shares := range s.services {
		all = append(all, shares.own(now)...)
	}
	slices.SortFunc(all, func(a, b Attained) int {
		return cmp.Or(cmp.Compare(b.Milli+b.Wanted, a.Milli+a.Wanted), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
	})
	return slices.Clip(all[:min(len(all), MaxReported)])
}

// SetPeer stores the report of a peer, which replaces the previous one.
func (s *Sharing) SetPeer(peer string, list []Attained, now time.Time) {
	list = list[:min(len(list), MaxReported)]
	for _, shares := range s.services {
		shares.setPeer(peer, list, now)
	}
}
