package gateway

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/team"
	"ragwortstile/internal/wire"
)

const (
	// revokeMargin is how long before Settings.RevokeTimeout the proof of a configuration is too old for the API keys in
	// it. It covers the difference between the rates of the clocks of the store, of callers and of instances.
	revokeMargin = 300 * time.Millisecond
	// askProofFraction is the age from which on peers are asked for their proof, as a fraction of the age up to which a key
	// can be called unknown. In normal operation the age reaches twice the wait of a long poll (pollWaitFraction), since
	// the proof counts from when a poll was sent and lasts until the next one returns; peers are not asked then.
	askProofFraction = 0.95
	// proofRetryAfter is the Retry-After of a request whose key cannot be judged for lack of a proof: what it takes to get
	// one from a peer, once a peer can be reached. Peers are asked every peerRefetchInterval.
	proofRetryAfter = 400 * time.Millisecond
	// maxLoggedFindings bounds the log lines about the faults of one configuration.
	maxLoggedFindings = 20
)

// maxKnownAge returns the age of the proof up to which a known API key is accepted. Without a bound of revocations it
// is accepted as long as no newer configuration is read.
func (s Settings) maxKnownAge() time.Duration {
	if s.RevokeTimeout <= 0 {
		return math.MaxInt64
	}
	return max(s.RevokeTimeout-revokeMargin, s.RevokeTimeout/2)
}

// maxUnknownAge returns the age of the proof up to which an API key is called unknown. A key that was added within
// ConfigApplyTimeout need not be known yet.
func (s Settings) maxUnknownAge() time.Duration { return min(s.ConfigApplyTimeout, s.maxKnownAge()) }

// hasTeams reports whether the configuration has teams.
func (v *storeView) hasTeams() bool {
	t := v.table.Load()
	return t != nil && t.HasTeams()
}

// proofAge returns the age of the proof that the configuration is the newest one. The caller must load the configuration
// after it, so that the proof holds for the configuration.
func (v *storeView) proofAge() time.Duration { return v.proof.Age(v.clock()) }

// routesAge returns the age of the routes, for the decision whether an unknown one can be said not to exist.
func (v *storeView) routesAge() time.Duration {
	if v.hasTeams() {
		return v.proofAge()
	}
	return v.configAge()
}

// maxRoutesAge returns the age of the routes up to which an unknown one is said not to exist.
func (g *Gateway) maxRoutesAge() time.Duration {
	if g.view.hasTeams() {
		return g.settings.maxUnknownAge()
	}
	return 2 * g.settings.ConfigApplyTimeout
}

// confirm records a proof for the configuration that has been applied, and logs when peers begin or cease to be its
// source.
func (v *storeView) confirm(p team.Proof) {
	now := v.clock()
	if !v.proof.Confirm(p, now) || !v.hasTeams() {
		return
	}
	byPeer := p.Source != ""
	if v.provenByPeer.Swap(byPeer) == byPeer {
		return
	}
	log := v.log.WithField("age", now.Since(p.At).Milliseconds())
	if byPeer {
		log.WithField("peer", p.Source).Info("configuration confirmed by a peer, not by the store")
	} else {
		log.Info("configuration confirmed by the store again")
	}
}

// confirmByPeer records the proof that a peer has stated in reply to a question that was sent at asked.
func (v *storeView) confirmByPeer(m wire.StoreView, from string, asked team.Instant) {
	if m.Proven {
		v.confirm(team.Proof{At: team.Received(asked, m.Age), Source: from})
	}
}

// noteProof logs when the proof becomes too old to accept API keys, and when there is one again.
func (v *storeView) noteProof(maxAge time.Duration) {
	age := v.proofAge()
	unproven := v.hasTeams() && age > maxAge
	if v.unproven.Swap(unproven) == unproven {
		return
	}
	log := v.log.WithField("age", age.Milliseconds())
	if unproven {
		log.Warn("configuration not confirmed, requests with an API key are refused")
	} else {
		log.Info("configuration confirmed, API keys are accepted again")
	}
}

// needsProof reports whether peers should be asked for their proof.
func (g *Gateway) needsProof() bool {
	limit := time.Duration(askProofFraction * float64(g.settings.maxUnknownAge()))
	return g.view.hasTeams() && g.view.proofAge() > limit
}

// proofQuestion asks a peer for its proof and for a newer configuration, but for no endpoints: the store returns those.
func (v *storeView) proofQuestion() wire.StoreViewGet {
	get := v.have()
	get.EndpointOffset = math.MaxInt64
	return get
}

// logFindings logs the faults of a configuration that has just been applied.
func logFindings(log logrus.FieldLogger, findings []team.Finding) {
	for _, f := range findings[:min(len(findings), maxLoggedFindings)] {
		log.WithFields(logrus.Fields{"name": f.Place, "reason": f.Text}).Warn("fault in the configuration")
	}
	if more := len(findings) - maxLoggedFindings; more > 0 {
		log.WithField("count", more).Warn("more faults in the configuration")
	}
}
