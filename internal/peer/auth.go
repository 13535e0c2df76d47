package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"sync/atomic"

	"ragwortstile/internal/wire"
)

// Limits of the pre-shared keys and of the challenge.
const (
	nonceBytes  = 32
	keyIDBytes  = 8
	MinKeyBytes = 16 // shortest accepted pre-shared key
	maxKeys     = 8  // pre-shared keys in a keyring, and key IDs in a Hello
)

// ErrAuth means that a peer failed to authenticate with a shared key or a certificate. The connection
// is retried no faster than the usual backoff.
var ErrAuth = errors.New("peer authentication failed")

// HMAC labels. The two sides use different labels, so that a proof cannot be reflected to its sender.
const (
	labelKeyID    = "ragwortstile key id"
	labelAcceptor = "ragwortstile acceptor"
	labelDialer   = "ragwortstile dialer"
)

// Keyring holds the accepted pre-shared keys. To rotate a key without a restart, append the new key
// on every instance, then move it to the first place, then remove the old key.
type Keyring struct {
	keys atomic.Pointer[[][]byte]
}

// NewKeyring returns a keyring with the given keys in order of preference.
func NewKeyring(keys ...[]byte) (*Keyring, error) {
	k := &Keyring{}
	if err := k.Set(keys...); err != nil {
		return nil, err
	}
	return k, nil
}

// Set replaces the keys. It does not affect open connections.
func (k *Keyring) Set(keys ...[]byte) error {
	if len(keys) == 0 || len(keys) > maxKeys {
		return fmt.Errorf("%d pre-shared keys, want 1 to %d", len(keys), maxKeys)
	}
	own := make([][]byte, 0, len(keys))
	for i, key := range keys {
		if len(key) < MinKeyBytes {
			return fmt.Errorf("pre-shared key %d has %d bytes, want at least %d", i, len(key), MinKeyBytes)
		}
		own = append(own, append([]byte(nil), key...))
	}
	k.keys.Store(&own)
	return nil
}

// ids returns the IDs of all keys in order of preference.
func (k *Keyring) ids() [][]byte {
	var ids [][]byte
	for _, key := range *k.keys.Load() {
		ids = append(ids, keyID(key))
	}
	return ids
}

// find returns the key for the first of the given key IDs that the keyring contains.
func (k *Keyring) find(ids [][]byte) ([]byte, error) {
	if len(ids) > maxKeys {
		return nil, fmt.Errorf("%w: %d keys offered", ErrAuth, len(ids))
	}
	for _, want := range ids {
		for _, key := range *k.keys.Load() {
			if hmac.Equal(want, keyID(key)) {
				return key, nil
			}
		}
	}
	return nil, fmt.Errorf("%w: no key in common", ErrAuth)
}

func keyID(key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(labelKeyID))
	return mac.Sum(nil)[:keyIDBytes]
}

func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("nonce: %w", err)
	}
	return nonce, nil
}

// proof returns an HMAC over both Hellos, so that the session, zone and versions of neither side can be
// changed in transit.
func proof(key []byte, label string, dialer, acceptor wire.Hello) []byte {
	mac := hmac.New(sha256.New, key)
	writeField(mac.Write, []byte(label))
	for _, h := range []wire.Hello{dialer, acceptor} {
		writeField(mac.Write, []byte(h.Session))
		writeField(mac.Write, []byte(h.Zone))
		writeField(mac.Write, []byte{h.MinVersion, h.MaxVersion})
		writeField(mac.Write, h.Nonce)
	}
	return mac.Sum(nil)
}

// writeField writes a field with a length prefix, so that two different lists of fields never give the
// same bytes.
func writeField(write func([]byte) (int, error), field []byte) {
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(field)))
	_, _ = write(length[:]) // Write of a hash.Hash never returns an error
	_, _ = write(field)
}

func checkProof(key []byte, label string, dialer, acceptor wire.Hello, got []byte) error {
	if !hmac.Equal(proof(key, label, dialer, acceptor), got) {
		return fmt.Errorf("%w: wrong proof", ErrAuth)
	}
	return nil
}
