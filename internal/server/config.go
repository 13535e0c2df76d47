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
	// DefaultDrainWait lets the balancer see the failing readiness check before the front refuses.
	DefaultDrainWait = time.Second
	// DefaultDrainTimeout bounds how long streams in flight may hold up a planned stop.
	DefaultDrainTimeout = 10 * time.Minute
	// DefaultListInterval is the time between polls of the platform's list.
	DefaultListInterval = 500 * time.Millisecond
)

// Config holds the settings of one instance.
type Config struct {
	Instance   string // name, unique in the deployment
	Zone       string // availability zone
	HTTPListen string // address of the callers' front
	PeerListen string // address of the peer protocol
	LogURL     string
	ListURL    string
	WeightsURL string // empty: no weight store

	Peers        []peer.Peer        // instances that are known before the list has answered
	Keys         *peer.Keyring      // pre-shared keys of the peer protocol; nil with Certificates
	Certificates *peer.Certificates // TLS of the peer protocol; nil with Keys

	// HTTPTLS serves callers by TLS; nil: plain HTTP, behind a balancer that ends TLS.
	HTTPTLS *tls.Config

	OperatorDigest string // hex SHA-256 of the operator's bearer key; empty: none

	Retention         time.Duration // how long the log keeps records
	DrainWait         time.Duration
	DrainTimeout      time.Duration
	ListInterval      time.Duration
	ReconcileInterval time.Duration // between comparisons of what engines hold with what they may hold

	Log *logrus.Logger

	// HTTPListener and PeerListener replace the addresses. The instance closes them.
	HTTPListener net.Listener
	PeerListener net.Listener
}

// Check fills in defaults and returns all findings joined.
func (c *Config) Check() error {
	var findings []error
	need := func(ok bool, format string, args ...any) {
		if !ok {
			findings = append(findings, fmt.Errorf(format, args...))
		}
	}
	need(c.Instance != "", "instance: name is missing")
	need(c.Zone != "", "zone: availability zone is missing")
	need(c.HTTPListener != nil || validAddr(c.HTTPListen), "http-listen: %q is not an IP address and port", c.HTTPListen)
	need(c.PeerListener != nil || validAddr(c.PeerListen), "peer-listen: %q is not an IP address and port", c.PeerListen)
	need(validURL(c.LogURL), "log-url: %q is not an HTTP URL", c.LogURL)
	need(validURL(c.ListURL), "list-url: %q is not an HTTP URL", c.ListURL)
	need(c.WeightsURL == "" || validURL(c.WeightsURL), "weights-url: %q is not an HTTP URL", c.WeightsURL)
	need((c.Keys == nil) != (c.Certificates == nil), "peer-key: exactly one of a pre-shared key and certificates must be set")
	for _, d := range []struct {
		name  string
		value *time.Duration
		std   time.Duration
	}{
		{"retention", &c.Retention, DefaultRetention},
		{"drain-wait", &c.DrainWait, DefaultDrainWait},
		{"drain-timeout", &c.DrainTimeout, DefaultDrainTimeout},
		{"list-interval", &c.ListInterval, DefaultListInterval},
		{"reconcile", &c.ReconcileInterval, DefaultReconcileInterval},
	} {
		need(*d.value >= 0, "%s: %s is negative", d.name, *d.value)
		if *d.value == 0 {
			*d.value = d.std
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
