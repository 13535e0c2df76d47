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

// rotateInterval is the time between looks at the files of keys and certificates.
const rotateInterval = 2 * time.Second

// credential is a set of files whose content is taken into use when it changes.
type credential struct {
	name  string
	files []string
	last  [][]byte
	use   func(content [][]byte) error
}

// load takes the present content into use if it is new. On an error the earlier content stays.
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
	if err := c.use(content); err != nil {
		return false, err
	}
	c.last = content
	return true, nil
}

// rotation keeps credentials up to date with their files.
type rotation struct{ all []*credential }

// add loads a credential for the first time.
func (r *rotation) add(c *credential) error {
	if _, err := c.load(); err != nil {
		return err
	}
	r.all = append(r.all, c)
	return nil
}

// run looks at the files until ctx ends. A fault is logged once, until the files change again.
func (r *rotation) run(ctx context.Context, log telemetry.EventLog) {
	ticker := time.NewTicker(rotateInterval)
	defer ticker.Stop()
	failed := map[string]string{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range r.all {
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

// keysOf returns the keys of a file with one key per line.
func keysOf(data []byte) [][]byte { return bytes.Fields(data) }

func keyFile(file string, ring *peer.Keyring) *credential {
	return &credential{name: "peer-key-file", files: []string{file}, use: func(content [][]byte) error {
		return ring.Set(keysOf(content[0])...)
	}}
}

func peerCertificates(cert, key, ca string, certs *peer.Certificates) *credential {
	return &credential{name: "peer-tls-cert", files: []string{cert, key, ca}, use: func(content [][]byte) error {
		return certs.Set(content[0], content[1], content[2])
	}}
}

// frontTLS is the certificate of the callers' front.
type frontTLS struct {
	current atomic.Pointer[tls.Certificate]
}

func (t *frontTLS) credential(cert, key string) *credential {
	return &credential{name: "http-tls-cert", files: []string{cert, key}, use: func(content [][]byte) error {
		own, err := tls.X509KeyPair(content[0], content[1])
		if err != nil {
			return fmt.Errorf("certificate of the callers' front: %w", err)
		}
		t.current.Store(&own)
		return nil
	}}
}

func (t *frontTLS) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return t.current.Load(), nil
		},
	}
}

var errHalfTLS = errors.New("http-tls-cert and http-tls-key must be set together")

// parseFrontTLS reads the certificate of the callers' front, if one is set.
func (s *serveSettings) parseFrontTLS(f *findings) *tls.Config {
	if s.httpCert == "" && s.httpKey == "" {
		return nil
	}
	if s.httpCert == "" || s.httpKey == "" {
		f.add("http-tls-cert", "%v", errHalfTLS)
		return nil
	}
	var t frontTLS
	if err := s.rotation.add(t.credential(s.httpCert, s.httpKey)); err != nil {
		f.add("http-tls-cert", "%v", err)
		return nil
	}
	return t.config()
}
