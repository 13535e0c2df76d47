package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync/atomic"
)

// Certificates holds the instance's certificate and the shared CA. Both can be replaced while connections
// are open; only new connections use the replacements.
type Certificates struct {
	current atomic.Pointer[certificateSet]
}

type certificateSet struct {
	own  tls.Certificate
	pool *x509.CertPool
}

// NewCertificates parses the PEM data of the instance's certificate chain, its private key and the CA.
func NewCertificates(certPEM, keyPEM, caPEM []byte) (*Certificates, error) {
	c := &Certificates{}
	if err := c.Set(certPEM, keyPEM, caPEM); err != nil {
		return nil, err
	}
	return c, nil
}

// Set replaces the certificate, the key and the CA. On an error the previous ones stay in use. caPEM may
// contain several certificates, so that the CA can be rotated.
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

// config returns the TLS settings of both sides. It replaces the standard verification, which uses a
// fixed CA pool on the dialing side; verify applies the same rules with the current pool. Any certificate
// issued by the shared CA is accepted as a peer, whatever its name.
func (c *Certificates) config() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // verify checks the certificate chain instead
		VerifyConnection:   c.verify,
		// A resumed TLS session would skip the check against the current CA after the CA was replaced.
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
