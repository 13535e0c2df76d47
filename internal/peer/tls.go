package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync/atomic"
)

// Certificates holds the instance's certificate and the shared CA. Both can be replaced while
// connections are open; new connections use the new ones.
type Certificates struct {
	current atomic.Pointer[certificateSet]
}

type certificateSet struct {
	own  tls.Certificate
	pool *x509.CertPool
}

// NewCertificates parses PEM blocks of the instance's certificate chain, its key and the CA.
func NewCertificates(certPEM, keyPEM, caPEM []byte) (*Certificates, error) {
	c := &Certificates{}
	if err := c.Set(certPEM, keyPEM, caPEM); err != nil {
		return nil, err
	}
	return c, nil
}

// Set replaces the certificate, the key and the CA. On an error the earlier ones stay in use. The
// CA block may hold several certificates, so that a CA can be rotated.
func (c *Certificates) Set(certPEM, keyPEM, caPEM []byte) error {
	own, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return fmt.Errorf("peer certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return errors.New("peer CA: no certificate found")
	}
	c.current.Store(&certificateSet{own: own, pool: pool})
	return nil
}

// config returns the TLS settings of both directions. The standard verification is replaced because
// it reads a fixed CA pool on the dialing side; verify applies the same rules with the current pool.
// Any certificate of the shared CA is a peer, whatever its name is.
func (c *Certificates) config() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // verify checks the chain
		VerifyConnection:   c.verify,
		// A resumed session would skip the check against a CA that was replaced.
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.current.Load().own, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().own, nil
		},
	}
}

func (c *Certificates) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("%w: no certificate", ErrAuth)
	}
	opts := x509.VerifyOptions{
		Roots:         c.current.Load().pool,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("%w: %w", ErrAuth, err)
	}
	return nil
}
