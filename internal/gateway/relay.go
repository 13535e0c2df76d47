package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/balance"
	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/reach"
	"ragwortstile/internal/upstream"
	"ragwortstile/internal/wire"
)

const (
	// maxRelays bounds the peers that are asked to send a request, or to reach an endpoint, until one of them can.
	maxRelays = 6
	// relayChunkBytes bounds the parts in which a peer returns a body.
	relayChunkBytes = 16 << 10
	// probeInterval is the time between tries to reach an endpoint while the instance may be cut off, and probeTimeout
	// bounds a try.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// errNoRelay means that no peer can send a request on behalf of this instance.
var errNoRelay = errors.New("no peer reaches the endpoint")

// linkObserver passes what becomes of the connections to endpoints on to the Tracker.
type linkObserver Gateway

// Connected implements upstream.Observer.
func (o *linkObserver) Connected() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.links.Connected(time.Now())
	(*Gateway)(o).noteCutOff()
}

// NotConnected implements upstream.Observer.
func (o *linkObserver) NotConnected(addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.links.NotConnected(addr, time.Now())
	(*Gateway)(o).noteCutOff()
}

// Responded implements upstream.Observer.
func (o *linkObserver) Responded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.links.Responded(time.Now())
}

// noteCutOff returns whether the instance is cut off from all endpoints, and logs when that changes. The caller holds
// the lock.
func (g *Gateway) noteCutOff() bool {
	cutOff := g.links.CutOff(g.view.endpointCount(), time.Now())
	if cutOff == g.wasCutOff {
		return cutOff
	}
	g.wasCutOff = cutOff
	if cutOff {
		g.log.Warn("no endpoint is reached; requests go through peers")
	} else {
		g.log.Info("endpoints are reached again")
	}
	return cutOff
}

// cutOff reports whether this instance is cut off from all endpoints, and whether its open connections are of use.
func (g *Gateway) cutOff() (cutOff, trustsOpen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.noteCutOff(), g.links.TrustsOpen(g.view.endpointCount(), time.Now())
}

// reachesEndpoints reports whether requests can be sent to endpoints by some way.
func (g *Gateway) reachesEndpoints() bool {
	cutOff, trustsOpen := g.cutOff()
	if !cutOff || trustsOpen {
		return true
	}
	_, ok := g.chooseRelay(nil)
	return ok
}

// probeEndpoints tries to reach endpoints while the instance is, or may be, cut off from them.
func (g *Gateway) probeEndpoints(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		g.mu.Lock()
		suspects := g.links.Suspects(time.Now())
		g.noteCutOff()
		g.mu.Unlock()
		if !suspects {
			continue
		}
		if e, ok := g.view.anyEndpoint(); ok {
			go g.probe(ctx, e)
		}
	}
}

func (g *Gateway) probe(ctx context.Context, e balance.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return g.pool.Probe(ctx, e.Addr)
}

// exchange sends a request to an endpoint, through a peer while this instance is cut off from the endpoints.
func (q *request) exchange(ctx context.Context, e target, r upstream.Request) (*upstream.Response, error) {
	q.viaPeer = false
	if !q.authorized() {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, errNotAuthorized)
	}
	cutOff, trustsOpen := q.g.cutOff()
	if cutOff && trustsOpen && q.g.pool.HasIdle(e.Addr) {
		r.OpenOnly = true
		if resp, err := q.g.pool.Do(ctx, e.Addr, r); !errors.Is(err, upstream.ErrNotSent) {
			return resp, err
		}
		r.OpenOnly = false
	}
	if cutOff {
		if resp, err := q.relay(ctx, e, r); !errors.Is(err, errNoRelay) {
			return resp, err
		}
	}
	resp, err := q.g.pool.Do(ctx, e.Addr, r)
	if cutOff || !errors.Is(err, upstream.ErrNotSent) || ctx.Err() != nil {
		return resp, err
	}
	if cutOff, _ = q.g.cutOff(); !cutOff {
		return resp, err
	}
	if relayed, relayErr := q.relay(ctx, e, r); !errors.Is(relayErr, errNoRelay) {
		return relayed, relayErr
	}
	return resp, err
}

// relay sends a request to an endpoint through a peer. Its errors are those of upstream.Pool.Do, and errNoRelay.
func (q *request) relay(ctx context.Context, e target, r upstream.Request) (*upstream.Response, error) {
	m := wire.EndpointRequest{
		Endpoint: e.ID, Addr: e.Addr, RequestID: q.meta.ID, Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body,
		Timeout: time.Until(q.deadline),
	}
	tried := make(map[id.Session]bool)
	for range maxRelays {
		p, ok := q.g.chooseRelay(tried)
		if !ok || q.callerGone() {
			break
		}
		if !q.authorized() {
			return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, errNotAuthorized)
		}
		if q.leaseExpired = !q.unitValid(); q.leaseExpired {
			return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, errLeaseExpired)
		}
		tried[p] = true
		log := q.log.WithFields(logrus.Fields{"endpoint": e.ID, "peer": string(p)})
		resp, err := q.relayThrough(ctx, p, m, r)
		var refused wire.Error
		if !errors.Is(err, upstream.ErrNotSent) || errors.As(err, &refused) && refused.Code == wire.CodeNotSent {
			q.viaPeer = true
			log.Info("request sent through a peer")
			return resp, err
		}
		log.WithField("reason", err.Error()).Info("peer does not send the request")
		q.g.mu.Lock()
		q.g.relays.Refused(p, time.Now())
		q.g.mu.Unlock()
	}
	return nil, errNoRelay
}

// chooseRelay returns a peer that may reach endpoints.
func (g *Gateway) chooseRelay(tried map[id.Session]bool) (id.Session, bool) {
	var peers []reach.Peer
	for _, r := range g.node.Connected() {
		if r.LastKind >= wire.KindEndpointProbe {
			peers = append(peers, reach.Peer{Session: r.Session, Zone: r.Zone})
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.relays.Choose(peers, tried, time.Now())
	return p.Session, ok
}

// relayThrough sends a request to an endpoint through a given peer.
func (q *request) relayThrough(ctx context.Context, p id.Session, m wire.EndpointRequest, r upstream.Request) (*upstream.Response, error) {
	g := q.g
	ctx, cancel := context.WithCancel(ctx)
	x, err := g.node.OpenExchange(ctx, p, m)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: peer %s: %w", upstream.ErrNotSent, p, err)
	}
	g.mu.Lock()
	g.relays.Begun(p)
	g.mu.Unlock()
	g.metrics.set.GetOrCreateCounter("ragwortstile_requests_sent_through_peers_total").Inc()
	finish := func() {
		cancel()
		x.Close()
		g.mu.Lock()
		g.relays.Ended(p)
		g.mu.Unlock()
	}
	responding := false
	defer func() {
		if !responding {
			finish()
		}
	}()
	reply, err := x.Recv(ctx)
	if err != nil {
		return nil, relayError(p, err)
	}
	head, ok := reply.(wire.EndpointResponse)
	// A peer of an earlier version passes any status on.
	if !ok || !upstream.ValidStatus(head.Status) || !r.Matches(head.Status, head.Header, true) {
		return nil, fmt.Errorf("peer %s: reply %s does not answer the request: %w", p, reply.Kind(), errUnusable)
	}
	responding = true
	return upstream.NewResponse(head.Status, head.Header, &upstream.Relay{
		Body: &relayedBody{ctx: ctx, exchange: x, peer: p}, Interrupt: cancel, Close: finish,
	}), nil
}

// relayError converts the error of an exchange about a request to an endpoint.
func relayError(p id.Session, err error) error {
	var refused wire.Error
	if errors.As(err, &refused) {
		switch refused.Code {
		case wire.CodeNotSent, wire.CodeCutOff, wire.CodeUnsupported, wire.CodeBusy:
			return fmt.Errorf("%w: peer %s: %w", upstream.ErrNotSent, p, err)
		}
	}
	return fmt.Errorf("peer %s: %w", p, err)
}

// endedAtPeer reports whether a peer has found that the endpoint has ended with the request.
func endedAtPeer(err error) bool {
	var told wire.Error
	return errors.As(err, &told) && told.Code == wire.CodeEndpointEnded
}

// relayedBody is the body of a response that a peer passes on. It ends with io.EOF only if the peer has received all of
// it.
type relayedBody struct {
	ctx      context.Context
	exchange *peer.Exchange
	peer     id.Session
	rest     []byte
	complete bool
}

// Read implements io.Reader.
func (b *relayedBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.complete {
			return 0, io.EOF
		}
		if err := b.ctx.Err(); err != nil { // Recv returns what has arrived first
			return 0, err
		}
		m, err := b.exchange.Recv(b.ctx)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF // the peer has ended the exchange without the end of the body
		}
		if err != nil {
			return 0, fmt.Errorf("peer %s: %w", b.peer, err)
		}
		switch m := m.(type) {
		case wire.EndpointData:
			b.rest = m.Data
		case wire.EndpointEnd:
			b.complete = true
		default:
			return 0, fmt.Errorf("peer %s: unexpected %s in a body: %w", b.peer, m.Kind(), errUnusable)
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// reachedByPeer reports whether a peer reaches an endpoint. known is false if no peer can tell.
func (g *Gateway) reachedByPeer(ctx context.Context, e balance.Endpoint) (reached, known bool) {
	tried := make(map[id.Session]bool)
	for range maxRelays {
		p, ok := g.chooseRelay(tried)
		if !ok {
			break
		}
		tried[p] = true
		_, err := g.node.Request(ctx, p, wire.EndpointProbe{Endpoint: e.ID, Addr: e.Addr})
		var told wire.Error
		switch {
		case err == nil:
			return true, true
		case errors.As(err, &told) && told.Code == wire.CodeNotSent:
			known = true
		}
	}
	return false, known
}

// serveProbe answers whether an endpoint accepts connections of this instance.
func (g *Gateway) serveProbe(ctx context.Context, m wire.EndpointProbe, r *peer.Replier) error {
	if e, ok := g.view.endpoint(m.Endpoint, m.Addr); ok && g.probe(ctx, e) {
		return r.SendLast(ctx, wire.Ack{})
	}
	if cutOff, _ := g.cutOff(); cutOff {
		return wire.Error{Code: wire.CodeCutOff, Detail: "no endpoint is reached"}
	}
	return wire.Error{Code: wire.CodeNotSent, Detail: "endpoint does not accept connections"}
}

// serveRelay sends a request to an endpoint on behalf of a peer and passes the response on as it arrives.
func (g *Gateway) serveRelay(ctx context.Context, m wire.EndpointRequest, r *peer.Replier) error {
	if cutOff, _ := g.cutOff(); cutOff || g.stopping.Load() {
		return wire.Error{Code: wire.CodeCutOff, Detail: "no endpoint is reached, or the instance stops"}
	}
	g.relaying.Add(1)
	defer g.relaying.Add(-1)
	e, ok := g.view.endpoint(m.Endpoint, m.Addr)
	if !ok {
		return wire.Error{Code: wire.CodeNotSent, Detail: "endpoint is not listed"}
	}
	g.metrics.set.GetOrCreateCounter("ragwortstile_requests_sent_for_peers_total").Inc()
	log := g.log.WithFields(logrus.Fields{"call": m.RequestID, "endpoint": m.Endpoint})
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	var reply Reply
	resp, err := g.pool.Do(ctx, m.Addr, upstream.Request{
		Method: m.Method, URI: m.URI, Host: m.Host, Header: m.Header, Body: m.Body,
		Matches: func(status int, h http.Header, first bool) bool {
			reply = g.protocol.DecodeReply(status, h)
			return reply.answers(m.RequestID, first)
		},
	})
	if err != nil {
		log.WithField("reason", err.Error()).Info("request of a peer failed")
		if !errors.Is(err, upstream.ErrNotSent) {
			return g.brokenOff(m, err)
		}
		if cutOff, _ := g.cutOff(); cutOff {
			return wire.Error{Code: wire.CodeCutOff, Detail: "no endpoint is reached"}
		}
		return wire.Error{Code: wire.CodeNotSent, Detail: "endpoint does not accept connections"}
	}
	if reply.Leaving {
		g.observeLeaving(e.ID, e.StartUnixMs)
	}
	if err := passOn(ctx, resp, r); err != nil {
		resp.Discard()
		log.WithField("reason", err.Error()).Info("response for a peer broken off")
		return g.brokenOff(m, err)
	}
	finishResponse(resp, reply, m.RequestID)
	return nil
}

// brokenOff returns what a peer is told of a request that may have run and got no complete response.
func (g *Gateway) brokenOff(m wire.EndpointRequest, err error) wire.Error {
	if upstream.BrokenOff(err) && g.hasEnded(balance.Endpoint{ID: m.Endpoint, Addr: m.Addr}, time.Now()) {
		return wire.Error{Code: wire.CodeEndpointEnded, Detail: "endpoint broke the connection off and ended"}
	}
	return wire.Error{Code: wire.CodeBrokenOff, Detail: "endpoint gave no complete response"}
}

// passOn sends a response to the peer that asked for it, up to the end of its body.
func passOn(ctx context.Context, resp *upstream.Response, r *peer.Replier) error {
	if err := r.Send(ctx, wire.EndpointResponse{Status: resp.Status, Header: resp.Header}); err != nil {
		return err
	}
	buffer := make([]byte, relayChunkBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if err := r.Send(ctx, wire.EndpointData{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return r.SendLast(ctx, wire.EndpointEnd{})
		}
		if err != nil {
			return err
		}
	}
}
