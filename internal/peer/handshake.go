package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"ragwortstile/internal/wire"
)

// maxHandshakeFrameBytes limits the size of frames that are read before the peer is authenticated.
const maxHandshakeFrameBytes = 4 << 10

// dialHandshake runs the handshake of the dialing side. It returns the connection to use and the
// acceptor's Hello.
func (n *Node) dialHandshake(ctx context.Context, raw net.Conn) (net.Conn, wire.Hello, error) {
	nc, err := n.prepare(ctx, raw, tls.Client)
	if err != nil {
		return nil, wire.Hello{}, err
	}
	own, err := n.hello()
	if err != nil {
		return nil, wire.Hello{}, err
	}
	if n.cfg.Certificates == nil {
		own.KeyIDs = n.cfg.Keys.ids()
	}
	if err = writeHandshake(nc, own); err != nil {
		return nil, wire.Hello{}, err
	}
	theirs, err := readHandshake[wire.Hello](nc)
	if err != nil {
		return nil, wire.Hello{}, err
	}
	if err = checkHello(theirs); err != nil {
		return nil, wire.Hello{}, refuse(nc, err)
	}
	if n.cfg.Certificates == nil {
		if err = n.proveAsDialer(nc, own, theirs); err != nil {
			return nil, wire.Hello{}, refuse(nc, err)
		}
	}
	if _, err = readHandshake[wire.Ready](nc); err != nil {
		return nil, wire.Hello{}, err
	}
	return nc, theirs, nc.SetDeadline(time.Time{})
}

func (n *Node) proveAsDialer(nc net.Conn, own, theirs wire.Hello) error {
	key, err := n.cfg.Keys.find(theirs.KeyIDs)
	if err != nil {
		return err
	}
	if err := checkProof(key, labelAcceptor, own, theirs, theirs.Proof); err != nil {
		return err
	}
	return writeHandshake(nc, wire.Proof{Proof: proof(key, labelDialer, own, theirs)})
}

// acceptHandshake runs the handshake of the accepting side. It returns the connection to use and the
// dialer's Hello.
func (n *Node) acceptHandshake(ctx context.Context, raw net.Conn) (net.Conn, wire.Hello, error) {
	nc, err := n.prepare(ctx, raw, tls.Server)
	if err != nil {
		return nil, wire.Hello{}, err
	}
	theirs, err := readHandshake[wire.Hello](nc)
	if err != nil {
		return nil, wire.Hello{}, refuse(nc, err)
	}
	if err = checkHello(theirs); err != nil {
		return nil, wire.Hello{}, refuse(nc, err)
	}
	own, err := n.hello()
	if err != nil {
		return nil, wire.Hello{}, err
	}
	if n.cfg.Certificates != nil {
		err = writeHandshake(nc, own)
	} else {
		err = n.proveAsAcceptor(nc, theirs, own)
	}
	if err != nil {
		return nil, wire.Hello{}, refuse(nc, err)
	}
	if err = writeHandshake(nc, wire.Ready{}); err != nil {
		return nil, wire.Hello{}, err
	}
	return nc, theirs, nc.SetDeadline(time.Time{})
}

func (n *Node) proveAsAcceptor(nc net.Conn, theirs, own wire.Hello) error {
	key, err := n.cfg.Keys.find(theirs.KeyIDs)
	if err != nil {
		return err
	}
	own.KeyIDs = [][]byte{keyID(key)}
	own.Proof = proof(key, labelAcceptor, theirs, own)
	if err := writeHandshake(nc, own); err != nil {
		return err
	}
	answer, err := readHandshake[wire.Proof](nc)
	if err != nil {
		return err
	}
	return checkProof(key, labelDialer, theirs, own, answer.Proof)
}

// prepare sets the deadline of the handshake and runs the TLS handshake if TLS is configured.
func (n *Node) prepare(ctx context.Context, raw net.Conn, wrap func(net.Conn, *tls.Config) *tls.Conn) (net.Conn, error) {
	if err := raw.SetDeadline(time.Now().Add(n.cfg.HandshakeTimeout)); err != nil {
		return nil, err
	}
	if n.cfg.Certificates == nil {
		return raw, nil
	}
	tc := wrap(raw, n.cfg.Certificates.config())
	if err := tc.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return tc, nil
}

func (n *Node) hello() (wire.Hello, error) {
	nonce, err := newNonce()
	h := wire.Hello{
		Session:    n.cfg.Session,
		Zone:       n.cfg.Zone,
		MinVersion: wire.Version,
		MaxVersion: wire.Version,
		Nonce:      nonce,
		LastKind:   n.cfg.lastKind,
	}
	return h, err
}

func checkHello(h wire.Hello) error {
	if h.MinVersion > wire.Version || h.MaxVersion < wire.Version {
		return &wire.UnknownVersionError{Version: h.MinVersion}
	}
	if h.Session == "" {
		return fmt.Errorf("%w: no session in hello", wire.ErrMalformed)
	}
	if len(h.Nonce) != nonceBytes {
		return fmt.Errorf("%w: nonce of %d bytes", wire.ErrMalformed, len(h.Nonce))
	}
	return nil
}

func writeHandshake(nc net.Conn, m wire.Message) error {
	data, err := wire.Encode(wire.Envelope{Message: m})
	if err != nil {
		return err
	}
	if _, err := nc.Write(data); err != nil {
		return fmt.Errorf("handshake: write %s: %w", m.Kind(), err)
	}
	return nil
}

func readHandshake[T wire.Message](nc net.Conn) (T, error) {
	var want T
	f, err := wire.ReadFrame(nc, maxHandshakeFrameBytes)
	if err != nil {
		return want, fmt.Errorf("handshake: read %s: %w", want.Kind(), err)
	}
	e, err := wire.Decode(f)
	if err != nil {
		return want, fmt.Errorf("handshake: %w", err)
	}
	if refusal, ok := e.Message.(wire.Error); ok {
		return want, fmt.Errorf("handshake: %w", refusal)
	}
	got, ok := e.Message.(T)
	if !ok {
		return want, fmt.Errorf("handshake: got %s, want %s: %w", f.Kind, want.Kind(), wire.ErrMalformed)
	}
	return got, nil
}

// refuse sends the peer the reason for closing the connection and returns err.
func refuse(nc net.Conn, err error) error {
	_ = writeHandshake(nc, toWireError(err))
	return err
}

// toWireError maps an error of this package or of package wire to the message that reports it to the
// peer. Of other errors the peer learns no details.
func toWireError(err error) wire.Error {
	var version *wire.UnknownVersionError
	var kind *wire.UnknownKindError
	var own wire.Error
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &version):
		return wire.Error{Code: wire.CodeUnknownVersion, Detail: version.Error()}
	case errors.As(err, &kind):
		return wire.Error{Code: wire.CodeUnknownKind, Detail: kind.Error()}
	case errors.Is(err, ErrAuth):
		return wire.Error{Code: wire.CodeAuth, Detail: ErrAuth.Error()}
	case errors.Is(err, wire.ErrMalformed), errors.Is(err, wire.ErrTooLarge), errors.Is(err, wire.ErrTruncated):
		return wire.Error{Code: wire.CodeMalformed, Detail: err.Error()}
	default:
		return wire.Error{Code: wire.CodeInternal, Detail: "internal error"}
	}
}
