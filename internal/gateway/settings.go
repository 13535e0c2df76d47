package gateway

import "time"

// Settings are those of one instance. The source checks them.
type Settings struct {
	Instance      string
	Zone          string
	FrontAddr     string // callers
	ReadyAddr     string // the balancer's question whether the instance takes callers
	PeerAddr      string // where peers are listened to
	PeerAdvertise string // address that peers are told; empty: PeerAddr
	MetricsAddr   string
	Seeds         []string // addresses of some peers, which may be out of date
	PeerKey       []byte   // pre-shared key of the instances

	MemoryBytes int64
	CoreShare   float64

	StopGrace            time.Duration // from the stop signal to the end
	EndpointDrainTimeout time.Duration // from an endpoint's leaving to the last new request
	ConfigApplyTimeout   time.Duration // from a change of configuration until it is in force
	AddressReuse         time.Duration // least time before an address names another endpoint
	EndpointHeartbeat    time.Duration

	StoreAddr        string
	StoreParts       int
	StoreRecordBytes int
	StoreCallBytes   int
	StoreRetention   time.Duration
	StoreMinTTL      time.Duration
}

// visibleToPeers returns the address that peers are told.
func (s Settings) visibleToPeers() string {
	if s.PeerAdvertise != "" {
		return s.PeerAdvertise
	}
	return s.PeerAddr
}
