package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/peer"
	"ragwortstile/internal/server"
	"ragwortstile/internal/telemetry"
)

// serveSettings are the unparsed settings of serve. They are validated together, so that one start
// reports all errors.
type serveSettings struct {
	instance, zone                     string
	httpListen, peerListen             string
	logURL, listURL, weightsURL        string
	peers                              string
	peerKey, peerKeyFile               string
	tlsCert, tlsKey, tlsCA             string
	operatorDigest                     string
	retention, drainWait, drainTimeout string
	listInterval, logLevel             string
	httpCert, httpKey                  string

	credentials credentialWatcher
}

func (s *serveSettings) addFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.instance, "instance", "", "name of this instance, unique in the deployment")
	fs.StringVar(&s.zone, "zone", "", "availability zone of this instance")
	fs.StringVar(&s.httpListen, "http-listen", "", "IP address and port of the callers' front")
	fs.StringVar(&s.peerListen, "peer-listen", "", "IP address and port of the peer protocol")
	fs.StringVar(&s.logURL, "log-url", "", "base URL of the platform's log")
	fs.StringVar(&s.listURL, "list-url", "", "base URL of the platform's list")
	fs.StringVar(&s.weightsURL, "weights-url", "", "base URL of the weight store; empty: none")
	fs.StringVar(&s.peers, "peers", "", "instances to connect to before the list has answered: name=address,...")
	fs.StringVar(&s.peerKey, "peer-key", "", "pre-shared keys of the peer protocol, separated by commas, the preferred one first")
	fs.StringVar(&s.peerKeyFile, "peer-key-file", "", "file with one pre-shared key per line, read again when it changes; replaces peer-key")
	fs.StringVar(&s.tlsCert, "peer-tls-cert", "", "PEM file of this instance's certificate for the peer protocol")
	fs.StringVar(&s.tlsKey, "peer-tls-key", "", "PEM file of the certificate's key")
	fs.StringVar(&s.tlsCA, "peer-tls-ca", "", "PEM file of the shared CA")
	fs.StringVar(&s.httpCert, "http-tls-cert", "", "PEM file of the certificate of the callers' front; empty: no TLS")
	fs.StringVar(&s.httpKey, "http-tls-key", "", "PEM file of the certificate's key")
	fs.StringVar(&s.operatorDigest, "operator-key-digest", "", "hex SHA-256 of the operator's bearer key; empty: none")
	fs.StringVar(&s.retention, "retention", server.DefaultRetention.String(), "how long the log keeps records")
	fs.StringVar(&s.drainWait, "drain-wait", server.DefaultDrainWait.String(), "time for the balancer to see that the instance stops")
	fs.StringVar(&s.drainTimeout, "drain-timeout", server.DefaultDrainTimeout.String(), "how long streams may hold up a planned stop")
	fs.StringVar(&s.listInterval, "list-interval", server.DefaultListInterval.String(), "time between polls of the list")
	fs.StringVar(&s.logLevel, "log-level", "info", "error, warn, info or debug")
}

func serveCommand(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile serve")
	var s serveSettings
	s.addFlags(fs)
	return newCommand("serve", "serve [flags]", "Run one instance until SIGTERM or SIGINT, then drain it.", fs,
		func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			cfg, err := s.config(stdio.stderr)
			if err != nil {
				return &usageError{err: err}
			}
			return serve(ctx, cfg, &s.credentials)
		})
}

func serve(ctx context.Context, cfg server.Config, credentials *credentialWatcher) error {
	i, err := server.New(cfg)
	if err != nil {
		return err
	}
	i.Start()
	go credentials.run(ctx, telemetry.NewEventLog(cfg.Log).With(telemetry.Instance(i.Session())))
	telemetry.NewEventLog(cfg.Log).Info("instance_started", telemetry.Instance(i.Session()), telemetry.HTTP(i.HTTPAddr()), telemetry.Listen(i.PeerAddr()))
	select {
	case <-ctx.Done():
		return i.Drain(context.Background())
	case <-i.Stopped():
		return i.Err()
	}
}

// settingErrors collects errors of settings, each with its flag and environment variable.
type settingErrors struct{ list []error }

func (errs *settingErrors) add(name, format string, args ...any) {
	variable := envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	errs.list = append(errs.list, fmt.Errorf("--%s (%s): %s", name, variable, fmt.Sprintf(format, args...)))
}

func (errs *settingErrors) duration(name, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		errs.add(name, "%q is not a positive duration such as 30s", text)
	}
	return d
}

// config validates the settings and returns the configuration, or an error that joins all errors found. Key and
// certificate files that it reads are added to s.credentials.
func (s *serveSettings) config(logOutput io.Writer) (server.Config, error) {
	var errs settingErrors
	cfg := server.Config{
		Instance: s.instance, Zone: s.zone, HTTPListen: s.httpListen, PeerListen: s.peerListen,
		LogURL: s.logURL, ListURL: s.listURL, WeightsURL: s.weightsURL, OperatorDigest: strings.ToLower(s.operatorDigest),
		Retention:    errs.duration("retention", s.retention),
		DrainWait:    errs.duration("drain-wait", s.drainWait),
		DrainTimeout: errs.duration("drain-timeout", s.drainTimeout),
		ListInterval: errs.duration("list-interval", s.listInterval),
	}
	if s.operatorDigest != "" && len(s.operatorDigest) != 64 {
		errs.add("operator-key-digest", "want 64 hex digits")
	}
	cfg.Peers = s.parsePeers(&errs)
	s.parseAuth(&cfg, &errs)
	cfg.HTTPTLS = s.parseHTTPTLS(&errs)
	cfg.Log = s.newLogger(logOutput, &errs)
	if len(errs.list) == 0 {
		return cfg, cfg.Check()
	}
	if err := cfg.Check(); err != nil {
		errs.list = append(errs.list, err)
	}
	return cfg, errors.Join(errs.list...)
}

func (s *serveSettings) newLogger(out io.Writer, errs *settingErrors) *logrus.Logger {
	level, err := logrus.ParseLevel(s.logLevel)
	if err != nil {
		errs.add("log-level", "%q is not error, warn, info or debug", s.logLevel)
	}
	return telemetry.NewLogger(out, level)
}

func (s *serveSettings) parsePeers(errs *settingErrors) []peer.Peer {
	var peers []peer.Peer
	if s.peers == "" {
		return nil
	}
	for n, part := range strings.Split(s.peers, ",") {
		name, addr, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || name == "" || addr == "" {
			errs.add("peers", "entry %d: %q is not name=address", n+1, part)
			continue
		}
		peers = append(peers, peer.Peer{Instance: name, Addr: addr})
	}
	return peers
}

func (s *serveSettings) parseAuth(cfg *server.Config, errs *settingErrors) {
	keys := s.peerKey
	if s.peerKeyFile != "" {
		data, err := os.ReadFile(s.peerKeyFile)
		if err != nil {
			errs.add("peer-key-file", "%v", err)
			return
		}
		keys = strings.Join(strings.Fields(string(data)), ",")
	}
	if keys != "" {
		var raw [][]byte
		for _, k := range strings.Split(keys, ",") {
			raw = append(raw, []byte(strings.TrimSpace(k)))
		}
		ring, err := peer.NewKeyring(raw...)
		if err != nil {
			errs.add("peer-key", "%v", err)
			return
		}
		cfg.Keys = ring
		if s.peerKeyFile != "" {
			if err := s.credentials.add(keyFileCredential(s.peerKeyFile, ring)); err != nil {
				errs.add("peer-key-file", "%v", err)
			}
		}
	}
	if s.tlsCert == "" && s.tlsKey == "" && s.tlsCA == "" {
		return
	}
	var blocks [3][]byte
	ok := true
	for n, setting := range []struct{ name, file string }{
		{"peer-tls-cert", s.tlsCert}, {"peer-tls-key", s.tlsKey}, {"peer-tls-ca", s.tlsCA},
	} {
		data, err := os.ReadFile(setting.file)
		if err != nil {
			errs.add(setting.name, "%v", err)
			ok = false
		}
		blocks[n] = data
	}
	if !ok {
		return
	}
	certs, err := peer.NewCertificates(blocks[0], blocks[1], blocks[2])
	if err != nil {
		errs.add("peer-tls-cert", "%v", err)
		return
	}
	cfg.Certificates = certs
	if err := s.credentials.add(peerTLSCredential(s.tlsCert, s.tlsKey, s.tlsCA, certs)); err != nil {
		errs.add("peer-tls-cert", "%v", err)
	}
}
