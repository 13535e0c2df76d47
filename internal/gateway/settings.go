package gateway

import (
	"slices"
	"time"

	"ragwortstile/internal/team"
	"ragwortstile/internal/upstream"
)

// Settings are the settings of one instance. They are validated where they are loaded.
type Settings struct {
	Instance      string
	Zone          string
	FrontAddr     string // listens for callers
	ReadyAddr     string // serves the load balancer's readiness probe
	PeerAddr      string // listens for peers
	PeerAdvertise string // address that peers use to connect; PeerAddr if empty
	MetricsAddr   string
	Seeds         []string // addresses of some peers; may be out of date
	PeerKey       []byte   // pre-shared key that instances authenticate each other with

	MemoryBytes int64 // memory that the process may use
	MaxFDs      int   // file descriptors that the process may have open; 0 if there is no limit

	// SpreadLoad spreads the choice of endpoints where many instances choose at the same time; see balance.Balancer.
	SpreadLoad bool

	DialEndpoint upstream.DialFunc // opens connections to endpoints; nil: over TCP

	StopGrace            time.Duration // from the stop signal to the end of the process
	EndpointDrainTimeout time.Duration // from the listing of an endpoint as draining to the last new request to it
	ConfigApplyTimeout   time.Duration // from a configuration change until it must be applied
	RevokeTimeout        time.Duration // from the revocation of an API key until no request with it may run; 0: no bound

	Clock team.Clock // by which the age of the configuration's proof is measured; nil: team.SystemClock

	QuotaWindow  time.Duration // window in which the quotas of teams hold; 0: they are not enforced
	QuotaOverage float64       // part by which a quota may be exceeded
	QuotaSlack   float64       // requests beyond that

	StoreAddr        string
	StoreParts       int           // partitions of a topic
	StoreRecordBytes int           // limit of a record
	StoreCallBytes   int           // limit of a call
	StoreMinTTL      time.Duration // shortest TTL of a group membership
	StoreRetention   time.Duration // how long the store keeps records; 0 if it does not delete them by their age
}

// advertisedAddr returns the address that peers use to connect to this instance.
func (s Settings) advertisedAddr() string {
	if s.PeerAdvertise != "" {
		return s.PeerAdvertise
	}
	return s.PeerAddr
}

// hasSeeds reports whether the settings name other instances.
func (s Settings) hasSeeds() bool {
	return slices.ContainsFunc(s.Seeds, func(addr string) bool { return addr != s.advertisedAddr() })
}
