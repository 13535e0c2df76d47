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

// Sizes of the challenge in bytes.
const (
	nonceBytes   = 32
	keyIDBytes   = 8
	MinKeyBytes  = 16 // shortest accepted pre-shared key
	maxKeysCount = 8
)

// ErrAuth tells that a peer could not prove that it has a shared key. It is not retried faster than
// the connection backoff.
var ErrAuth = errors.New("peer authentication failed")

// Labels keep the proofs of the two directions apart, so that a proof cannot be sent back.
const (
	labelKeyID    = "ragwortstile key id"
	labelAcceptor = "ragwortstile acceptor"
	labelDialer   = "ragwortstile dialer"
)

// Keyring holds the pre-shared keys that are accepted. To rotate a key without a restart, add the
// new key as the last one everywhere, then make it the first one, then remove the old one.
type Keyring struct {
	keys atomic.Pointer[[][]byte]
}

// NewKeyring returns a keyring with the given keys, the preferred one first.
func NewKeyring(keys ...[]byte) (*Keyring, error) {
	k := &Keyring{}
	if err := k.Set(keys...); err != nil {
		return nil, err
	}
	return k, nil
}

// Set replaces the keys. Connections that are already open stay open.
func (k *Keyring) Set(keys ...[]byte) error {
	if len(keys) == 0 || len(keys) > maxKeysCount {
		return fmt.Errorf("%d pre-shared keys, want 1 to %d", len(keys), maxKeysCount)
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

func (k *Keyring) ids() [][]byte {
	var ids [][]byte
	for _, key := range *k.keys.Load() {
		ids = append(ids, keyID(key))
	}
	return ids
}

// find returns the first of the given keys, in their order, that the keyring has.
func (k *Keyring) find(ids [][]byte) ([]byte, error) {
	if len(ids) > maxKeysCount {
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

// proof covers both Hellos, so neither side's session, zone or versions can be changed on the way.
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

// writeField writes a field after its length, so that fields cannot run into each other.
func writeField(write func([]byte) (int, error), field []byte) {
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(field)))
	_, _ = write(length[:]) // hash.Hash never fails
	_, _ = write(field)
}

func checkProof(key []byte, label string, dialer, acceptor wire.Hello, got []byte) error {
	if !hmac.Equal(proof(key, label, dialer, acceptor), got) {
		return fmt.Errorf("%w: wrong proof", ErrAuth)
	}
	return nil
}
