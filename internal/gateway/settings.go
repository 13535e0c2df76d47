package gateway

import (
	"time"

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

	DialEndpoint upstream.DialFunc // opens connections to endpoints; nil: over TCP

	StopGrace            time.Duration // from the stop signal to the end of the process
	EndpointDrainTimeout time.Duration // from the listing of an endpoint as draining to the last new request to it
	ConfigApplyTimeout   time.Duration // from a configuration change until it must be applied

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
