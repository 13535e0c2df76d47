package server

import (
	"context"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/telemetry"
	"ragwortstile/internal/wire"
)

// peerHandler handles connections, messages and requests of other instances.
type peerHandler struct{ inst *Instance }

// Connected implements peer.Handler.
func (h *peerHandler) Connected(r peer.Remote) {
	h.inst.core.events.post(func() { h.inst.core.handlePeerConnected(r) })
}

// Disconnected implements peer.Handler.
func (h *peerHandler) Disconnected(r peer.Remote, err error) {
	h.inst.log.Debug("peer_disconnected", telemetry.Peer(r.Session), telemetry.Err(err))
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Receive implements peer.Handler.
func (h *peerHandler) Receive(r peer.Remote, m wire.Message) {
	h.inst.core.events.post(func() { h.inst.core.handleMessage(r.Session, m) })
}

// Serve implements peer.Handler.
func (h *peerHandler) Serve(ctx context.Context, _ peer.Remote, m wire.Message, r *peer.Replier) error {
	i := h.inst
	i.waitWhilePaused()
	switch m := m.(type) {
	case wire.Forward:
		return i.serveForward(ctx, m, r)
	case wire.CopyPut:
		if !i.copies.put(m.Copy) {
			return wire.Error{Code: wire.CodeBusy, Detail: "no room for more copies"}
		}
		return r.SendLast(ctx, wire.Ack{})
	case wire.CopyGet:
		return i.serveCopies(ctx, m, r)
	case wire.CopyDrop:
		i.copies.drop(m)
		return r.SendLast(ctx, wire.Ack{})
	case wire.ManifestGet:
		v := i.view.Load()
		if v == nil || v.rawManifest.Version < m.Min {
			return r.SendLast(ctx, wire.Manifest{})
		}
		return r.SendLast(ctx, wire.Manifest{Version: v.rawManifest.Version, Digest: v.rawManifest.Digest, JSON: v.rawManifest.Data})
	case wire.StatusGet:
		return r.SendLast(ctx, i.status())
	default:
		return wire.Error{Code: wire.CodeUnsupported, Detail: m.Kind().String()}
	}
}

// serveForward serves a caller's request that another instance forwarded to the owner here.
func (i *Instance) serveForward(ctx context.Context, m wire.Forward, r *peer.Replier) error {
	ev := m.Request()
	sink := &remoteSink{chunkSink: newChunkSink(), refused: make(chan id.Session, 1)}
	req := i.newRequest(ev, sink)
	if req == nil {
		return wire.Error{Code: wire.CodeMalformed, Detail: "no request or no valid program ID"}
	}
	req.remote = true
	if !i.core.events.post(func() { i.core.route(req) }) {
		return wire.Error{Code: wire.CodeNotHolder, Detail: "the instance has stopped"}
	}
	defer func() {
		req.cancel()
		i.core.events.post(func() { i.core.callerGone(req) })
	}()
	sent := make(chan error, 1)
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { sent <- sink.send(sendCtx, r) }()
	select {
	case err := <-sent:
		return err
	case holder := <-sink.refused:
		cancel()
		<-sent
		return wire.Error{Code: wire.CodeNotHolder, Detail: "another instance holds the slot", Holder: holder}
	}
}

// handleMessage handles a one-way message. It runs on the core loop.
func (c *core) handleMessage(from id.Session, m wire.Message) {
	switch m := m.(type) {
	case wire.Heartbeat:
		c.handleHeartbeat(from, m)
	case wire.HeartbeatAck:
		c.handleHeartbeatAck(from, m)
	case wire.Submit:
		c.dispatcher(m.Pool).step(sched.Submit{Request: m.Request}, from)
	case wire.Withdraw:
		c.dispatcher(m.Pool).step(sched.Withdraw{ID: m.ID}, from)
	case wire.Done:
		c.dispatcher(m.Pool).step(m.Done, from)
	case wire.Running:
		c.handleRunningReport(from, m)
	case wire.ProgramPaused:
		c.dispatcher(m.Pool).step(m.Paused, from)
	case wire.ProgramEnded:
		c.dispatcher(m.Pool).step(m.Ended, from)
	case wire.Grant:
		c.handleGrant(from, m.Pool, sched.Grant{Request: sched.Request{ID: m.ID}, Endpoint: m.Endpoint, Reason: m.Reason,
			MoveFrom: m.MoveFrom, Waited: m.Waited})
	case wire.Refuse:
		c.handleRefusal(from, sched.Refuse{Request: sched.Request{ID: m.ID}, Reason: m.Reason, RetryAfter: m.RetryAfter})
	}
}

// handlePeerConnected resends submissions and reports of running calls to a dispatcher whose previous
// connection may have lost them.
func (c *core) handlePeerConnected(r peer.Remote) {
	c.members.connected(r)
	for _, s := range c.submissions {
		if s.dispatcher != r.Session {
			continue
		}
		if s.endpoint == "" {
			c.sendSubmit(s)
		}
	}
	c.nextRunningReport = 0
}
