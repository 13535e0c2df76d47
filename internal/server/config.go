package server

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/peer"
)

// Defaults of Config.
const (
	// DefaultRetention is how long the log is assumed to keep records.
	DefaultRetention = time.Hour
	// DefaultDrainWait lets the load balancer notice the failing readiness check before the API
	// server refuses requests.
	DefaultDrainWait = time.Second
	// DefaultDrainTimeout bounds how long streams in flight may delay a planned stop.
	DefaultDrainTimeout = 10 * time.Minute
	// DefaultListInterval is the time between polls of the platform's instance list.
	DefaultListInterval = 500 * time.Millisecond
)

// Config holds the settings of one instance. A duration of 0 stands for its default.
type Config struct {
	Instance   string // name, unique in the deployment
	Zone       string // availability zone
	HTTPListen string // IP address and port of the HTTP API
	PeerListen string // IP address and port of the peer protocol
	LogURL     string
	ListURL    string
	WeightsURL string // empty: no weight store

	Peers        []peer.Peer        // instances to connect to before the list has answered
	Keys         *peer.Keyring      // pre-shared keys of the peer protocol; nil with Certificates
	Certificates *peer.Certificates // TLS of the peer protocol; nil with Keys

	// HTTPTLS is the TLS configuration of the HTTP API; nil: plain HTTP, behind a load balancer that
	// terminates TLS.
	HTTPTLS *tls.Config

	OperatorDigest string // hex SHA-256 of the operator's bearer key; empty: no operator access

	Retention         time.Duration // how long the log keeps records
	DrainWait         time.Duration
	DrainTimeout      time.Duration
	ListInterval      time.Duration
	ReconcileInterval time.Duration // between comparisons of the cache that engines hold with what they may hold

	Log *logrus.Logger

	// HTTPListener and PeerListener, if not nil, are used instead of listening on the addresses. The
	// instance closes them.
	HTTPListener net.Listener
	PeerListener net.Listener
}

// Check sets defaults and returns all errors found, joined.
func (c *Config) Check() error {
	var findings []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			findings = append(findings, fmt.Errorf(format, args...))
		}
	}
	check(c.Instance != "", "instance: name is missing")
	check(c.Zone != "", "zone: availability zone is missing")
	check(c.HTTPListener != nil || validAddr(c.HTTPListen), "http-listen: %q is not an IP address and port", c.HTTPListen)
	check(c.PeerListener != nil || validAddr(c.PeerListen), "peer-listen: %q is not an IP address and port", c.PeerListen)
	check(validURL(c.LogURL), "log-url: %q is not an HTTP URL", c.LogURL)
	check(validURL(c.ListURL), "list-url: %q is not an HTTP URL", c.ListURL)
	check(c.WeightsURL == "" || validURL(c.WeightsURL), "weights-url: %q is not an HTTP URL", c.WeightsURL)
	check((c.Keys == nil) != (c.Certificates == nil), "peer-key: exactly one of a pre-shared key and certificates must be set")
	for _, d := range []struct {
		name   string
		value  *time.Duration
		preset time.Duration
	}{
		{"retention", &c.Retention, DefaultRetention},
		{"drain-wait", &c.DrainWait, DefaultDrainWait},
		{"drain-timeout", &c.DrainTimeout, DefaultDrainTimeout},
		{"list-interval", &c.ListInterval, DefaultListInterval},
		{"reconcile", &c.ReconcileInterval, DefaultReconcileInterval},
	} {
		check(*d.value >= 0, "%s: %s is negative", d.name, *d.value)
		if *d.value == 0 {
			*d.value = d.preset
		}
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return errors.Join(findings...)
}

func validAddr(s string) bool {
	host, _, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil
}

func validURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
