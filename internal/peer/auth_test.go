package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/wire"
)

func keyring(t *testing.T, keys ...string) *Keyring {
	t.Helper()
	var raw [][]byte
	for _, k := range keys {
		raw = append(raw, []byte(k))
	}
	k, err := NewKeyring(raw...)
	must.NoError(t, err)
	return k
}

const keyOne, keyTwo = "the first key 0123456789", "the second key 0123456789"

// handshake runs both sides of the handshake over one connection and returns their errors.
func handshake(t *testing.T, dialer, acceptor Config) (error, error) {
	t.Helper()
	for _, cfg := range []*Config{&dialer, &acceptor} {
		cfg.Handler = &recorder{}
		cfg.Log = testLog()
		cfg.HandshakeTimeout = time.Second
	}
	dialer.Session, acceptor.Session = "d.1", "a.1"
	d, err := New(dialer)
	must.NoError(t, err)
	a, err := New(acceptor)
	must.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	result := make(chan error, 1)
	go func() {
		raw, err := l.Accept()
		if err == nil {
			_, _, err = a.acceptHandshake(context.Background(), raw)
		}
		if err != nil {
			_ = raw.Close()
		}
		result <- err
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer raw.Close()
	_, _, dialErr := d.dialHandshake(context.Background(), raw)
	if dialErr != nil {
		_ = raw.Close()
	}
	return dialErr, <-result
}

// Guards against a key rotation that breaks connections or needs a restart, and against accepting a peer
// without a shared key.
func TestKeyRotation(t *testing.T) {
	cases := []struct {
		name             string
		dialer, acceptor *Keyring
		ok               bool
	}{
		{"same key", keyring(t, keyOne), keyring(t, keyOne), true},
		{"new key added as second", keyring(t, keyOne), keyring(t, keyOne, keyTwo), true},
		{"new key made first", keyring(t, keyTwo, keyOne), keyring(t, keyOne, keyTwo), true},
		{"old key removed here", keyring(t, keyTwo), keyring(t, keyTwo, keyOne), true},
		{"no key in common", keyring(t, keyOne), keyring(t, keyTwo), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dialErr, acceptErr := handshake(t, Config{Keys: c.dialer}, Config{Keys: c.acceptor})
			if c.ok {
				must.NoError(t, dialErr)
				must.NoError(t, acceptErr)
				return
			}
			must.ErrorIs(t, acceptErr, ErrAuth)
			must.ErrorContains(t, dialErr, string(wire.CodeAuth))
		})
	}
	k := keyring(t, keyOne)
	must.NoError(t, k.Set([]byte(keyTwo)))
	dialErr, acceptErr := handshake(t, Config{Keys: k}, Config{Keys: keyring(t, keyTwo)})
	must.NoError(t, dialErr)
	must.NoError(t, acceptErr)
	must.Error(t, k.Set([]byte("short")))
}

// Guards against accepting the acceptor's own proof when it is reflected, and a proof made for another
// session.
func TestProofIsBoundToSideAndSessions(t *testing.T) {
	d := wire.Hello{Session: "d.1", Nonce: make([]byte, nonceBytes)}
	a := wire.Hello{Session: "a.1", Nonce: make([]byte, nonceBytes)}
	key := []byte(keyOne)
	must.NoError(t, checkProof(key, labelDialer, d, a, proof(key, labelDialer, d, a)))
	must.ErrorIs(t, checkProof(key, labelDialer, d, a, proof(key, labelAcceptor, d, a)), ErrAuth)
	other := d
	other.Session = "x.1"
	must.ErrorIs(t, checkProof(key, labelDialer, other, a, proof(key, labelDialer, d, a)), ErrAuth)
	must.ErrorIs(t, checkProof(key, labelDialer, d, a, nil), ErrAuth)
}

// Guards against accepting a certificate of another CA, and against a CA rotation that needs a restart.
func TestCertificates(t *testing.T) {
	one, two := newCA(t), newCA(t)
	a, b := one.issue(t, one.pem), one.issue(t, one.pem)
	dialErr, acceptErr := handshake(t, Config{Certificates: a}, Config{Certificates: b})
	must.NoError(t, dialErr)
	must.NoError(t, acceptErr)
	foreign := two.issue(t, append(append([]byte(nil), one.pem...), two.pem...))
	_, acceptErr = handshake(t, Config{Certificates: foreign}, Config{Certificates: b})
	must.ErrorIs(t, acceptErr, ErrAuth)
	dialErr, _ = handshake(t, Config{Certificates: b}, Config{Certificates: foreign})
	must.ErrorIs(t, dialErr, ErrAuth)
	cert, key := one.pair(t)
	must.NoError(t, b.Set(cert, key, append(append([]byte(nil), one.pem...), two.pem...)))
	dialErr, acceptErr = handshake(t, Config{Certificates: foreign}, Config{Certificates: b})
	must.NoError(t, dialErr)
	must.NoError(t, acceptErr)
	must.Error(t, b.Set(cert, key, nil))
}

type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func template(serial int64, ca bool) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  ca,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
}

func newCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template(1, true), template(1, true), &key.PublicKey, key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return &testCA{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func (ca *testCA) pair(t *testing.T) (certPEM, keyPEM []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template(2, false), ca.cert, &key.PublicKey, ca.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	certPEM = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return certPEM, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
}

func (ca *testCA) issue(t *testing.T, trusted []byte) *Certificates {
	t.Helper()
	cert, key := ca.pair(t)
	c, err := NewCertificates(cert, key, trusted)
	must.NoError(t, err)
	return c
}
