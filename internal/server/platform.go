package server

import (
	"context"
	"fmt"
	"time"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/record"
	"ragwortstile/internal/telemetry"
)

// tailPollWait is the duration of a long poll at the tail of the programs stream: a quarter of
// membership.TailBound.
const tailPollWait = 500 * time.Millisecond

// errFellBehind reports that the log's retention removed records before this instance had read them.
var errFellBehind error = codedError{code: "fell_behind", text: "the log dropped records before they were read"}

// newTailer returns the reader of a stream.
func (i *Instance) newTailer(stream string) *logservice.Tailer {
	cfg := i.tailerConfig(stream)
	if stream == streamPrograms {
		// A non-idempotent dispatch requires a read of the tail that is younger than
		// membership.TailBound.
		cfg.Wait = tailPollWait
		cfg.TailRead = func(sent time.Time) {
			at := sent.Sub(i.clockStart)
			i.core.events.post(func() { i.core.handleTailRead(at) })
		}
	}
	return logservice.NewTailer(cfg)
}

func (i *Instance) tailerConfig(stream string) logservice.TailerConfig {
	return logservice.TailerConfig{
		Client: logservice.NewLogClient(i.cfg.LogURL, i.httpClient),
		Stream: stream,
		Deliver: func(ctx context.Context, e logservice.Entry) error {
			i.deliver(stream, e)
			return ctx.Err()
		},
		AtTail: func(next uint64) { i.core.events.post(func() { i.core.atTail(stream, next) }) },
		Expired: func(from, earliest uint64) {
			i.fail(fmt.Errorf("stream %s, offsets %d to %d: %w", stream, from, earliest, errFellBehind))
		},
		Failed: func(err error) {
			i.log.Debug("read_failed", telemetry.Stream(stream), telemetry.Err(err))
		},
	}
}

// deliver passes one log entry to the core loop. An entry that this binary cannot decode changes no
// state: all binaries of this version skip it alike.
func (i *Instance) deliver(stream string, e logservice.Entry) {
	b, err := record.Decode(e.Data)
	if err != nil {
		i.log.Error("log_entry_skipped", telemetry.Stream(stream), telemetry.Offset(e.Offset), telemetry.Err(err))
	}
	i.waitWhilePaused()
	i.core.events.post(func() { i.core.applyEntry(stream, e.Offset, b, err == nil) })
	if b.Session != i.session {
		return
	}
	if stream == streamPrograms {
		i.programAppender.Seen(b.Seq)
	} else {
		i.configAppender.Seen(b.Seq)
	}
}

// newListClient returns the client that polls the platform's instance list.
func (i *Instance) newListClient() *logservice.ListClient {
	i.node.SetPeers(i.cfg.Peers)
	return logservice.NewListClient(logservice.ListConfig{
		BaseURL:  i.cfg.ListURL,
		Client:   i.httpClient,
		Interval: i.cfg.ListInterval,
		Polled: func(l logservice.List, sent time.Time) {
			i.waitWhilePaused()
			i.core.events.post(func() { i.core.handleList(l, sent.Sub(i.clockStart)) })
		},
		Failed: func(err error) { i.log.Debug("list_not_read", telemetry.Err(err)) },
	})
}

// wantedPeers returns the peers to stay connected to: the instances on the list, and configured peers
// that the list lacks.
func (i *Instance) wantedPeers(l logservice.List) []peer.Peer {
	known := map[string]bool{}
	var peers []peer.Peer
	for _, in := range l.Instances {
		if in.PeerAddr == "" {
			continue
		}
		known[in.Name] = true
		peers = append(peers, peer.Peer{Instance: in.Name, Addr: in.PeerAddr})
	}
	for _, p := range i.cfg.Peers {
		if !known[p.Instance] {
			peers = append(peers, p)
		}
	}
	return peers
}
