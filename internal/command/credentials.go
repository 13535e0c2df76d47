package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"ragwortstile/internal/peer"
	"ragwortstile/internal/telemetry"
)

// credentialPollInterval is the time between checks of key and certificate files for changes.
const credentialPollInterval = 2 * time.Second

// credential is a set of files whose content is passed to apply when it changes.
type credential struct {
	name  string
	files []string
	last  [][]byte // content of the last successful apply
	apply func(content [][]byte) error
}

// load reads the files and applies their content if it has changed. On an error the earlier content stays in use.
func (c *credential) load() (changed bool, err error) {
	content := make([][]byte, len(c.files))
	same := c.last != nil
	for n, file := range c.files {
		if content[n], err = os.ReadFile(file); err != nil {
			return false, err
		}
		same = same && bytes.Equal(content[n], c.last[n])
	}
	if same {
		return false, nil
	}
	if err := c.apply(content); err != nil {
		return false, err
	}
	c.last = content
	return true, nil
}

// credentialWatcher polls the files of credentials and applies their changes without a restart.
type credentialWatcher struct{ list []*credential }

// add loads a credential and, if this succeeds, has it reloaded by run.
func (w *credentialWatcher) add(c *credential) error {
	if _, err := c.load(); err != nil {
		return err
	}
	w.list = append(w.list, c)
	return nil
}

// run polls the files until ctx ends. An error that repeats is logged once, until a changed file has been applied.
func (w *credentialWatcher) run(ctx context.Context, log telemetry.EventLog) {
	ticker := time.NewTicker(credentialPollInterval)
	defer ticker.Stop()
	failed := map[string]string{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range w.list {
			changed, err := c.load()
			switch {
			case err != nil && failed[c.name] != err.Error():
				failed[c.name] = err.Error()
				log.Error("credential_unusable", telemetry.Name(c.name), telemetry.Err(err))
			case changed:
				delete(failed, c.name)
				log.Info("credential_replaced", telemetry.Name(c.name))
			}
		}
	}
}

// splitKeys returns the keys of a file with one key per line.
func splitKeys(data []byte) [][]byte { return bytes.Fields(data) }

func keyFileCredential(file string, ring *peer.Keyring) *credential {
	return &credential{name: "peer-key-file", files: []string{file}, apply: func(content [][]byte) error {
		return ring.Set(splitKeys(content[0])...)
	}}
}

func peerTLSCredential(cert, key, ca string, certs *peer.Certificates) *credential {
	return &credential{name: "peer-tls-cert", files: []string{cert, key, ca}, apply: func(content [][]byte) error {
		return certs.Set(content[0], content[1], content[2])
	}}
}

// httpCertificate is the server certificate of the listener for callers. New connections use the last one applied.
type httpCertificate struct {
	current atomic.Pointer[tls.Certificate]
}

func (t *httpCertificate) credential(cert, key string) *credential {
	return &credential{name: "http-tls-cert", files: []string{cert, key}, apply: func(content [][]byte) error {
		own, err := tls.X509KeyPair(content[0], content[1])
		if err != nil {
			return fmt.Errorf("certificate of the callers' front: %w", err)
		}
		t.current.Store(&own)
		return nil
	}}
}

func (t *httpCertificate) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return t.current.Load(), nil
		},
	}
}

var errIncompleteTLS = errors.New("http-tls-cert and http-tls-key must be set together")

// parseHTTPTLS reads the certificate of the listener for callers. It returns nil if none is set.
func (s *serveSettings) parseHTTPTLS(errs *settingErrors) *tls.Config {
	if s.httpCert == "" && s.httpKey == "" {
		return nil
	}
	if s.httpCert == "" || s.httpKey == "" {
		errs.add("http-tls-cert", "%v", errIncompleteTLS)
		return nil
	}
	var t httpCertificate
	if err := s.credentials.add(t.credential(s.httpCert, s.httpKey)); err != nil {
		errs.add("http-tls-cert", "%v", err)
		return nil
	}
	return t.config()
}
