// Package trial runs a whole deployment on loopback in one process: the stand-ins for the platform,
// the engines and the services, and any number of instances. The demo, the standin command and the
// tests use it; no production code does.
package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/api"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/platform"
	"ragwortstile/internal/publish"
	"ragwortstile/internal/server"
	"ragwortstile/internal/standin"
	"ragwortstile/internal/standin/enginestand"
	"ragwortstile/internal/standin/liststand"
	"ragwortstile/internal/standin/logstand"
	"ragwortstile/internal/standin/servicestand"
	"ragwortstile/internal/standin/weightstand"
)

// OperatorKey is the operator's bearer key of trial deployments.
const OperatorKey = "operator-demo-key"

// peerKey is the pre-shared key of trial deployments.
const peerKey = "trial deployments on loopback only"

// host is a stand-in that is served on loopback.
type host struct {
	server   *http.Server
	listener net.Listener
}

func serveAt(addr string, h http.Handler) (*host, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &host{server: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}, listener: l}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *host) url() string { return "http://" + s.listener.Addr().String() }

func (s *host) close() { _ = s.server.Close() }

// Deployment is a running trial.
type Deployment struct {
	Log      *logstand.Log
	List     *liststand.List
	Weights  *weightstand.Store
	Engines  map[string]*enginestand.Engine
	Services map[string]*servicestand.Service
	Manifest *manifest.Manifest

	logger  *logrus.Logger
	log     *host
	list    *host
	weights *host

	mu        sync.Mutex
	hosts     map[string]*host // of engines and services
	instances map[string]*server.Instance
	version   uint64
}
