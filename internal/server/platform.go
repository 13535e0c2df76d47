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

// tailWait is the long poll at the tail of the programs stream, a quarter of membership.TailBound.
const tailWait = 500 * time.Millisecond

// errFellBehind tells that the log dropped records that were not read.
var errFellBehind error = codedError{code: "fell_behind", text: "the log dropped records before they were read"}

// tailer returns the reader of a stream.
func (i *Instance) tailer(stream string) *logservice.Tailer {
	cfg := i.tailerConfig(stream)
	if stream == streamPrograms {
		// Dispatches that may not be repeated need a read of the tail that is younger than
		// membership.TailBound.
		cfg.Wait = tailWait
		cfg.TailRead = func(sent time.Time) {
			at := sent.Sub(i.epoch)
			i.core.events.post(func() { i.core.tailRead(at) })
		}
	}
	return logservice.NewTailer(cfg)
}

func (i *Instance) tailerConfig(stream string) logservice.TailerConfig {
	return logservice.TailerConfig{
		Client: logservice.NewLogClient(i.cfg.LogURL, i.httpCl),
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

// deliver hands one entry to the loop. An entry that this binary can't read changes nothing: all
// binaries of its version skip it alike.
func (i *Instance) deliver(stream string, e logservice.Entry) {
	b, err := record.Decode(e.Data)
	if err != nil {
		i.log.Error("log_entry_skipped", telemetry.Stream(stream), telemetry.Offset(e.Offset), telemetry.Err(err))
	}
	i.passGate()
	i.core.events.post(func() { i.core.entry(stream, e.Offset, b, err == nil) })
	if b.Session != i.session {
		return
	}
	if stream == streamPrograms {
		i.programs.Seen(b.Seq)
	} else {
		i.configs.Seen(b.Seq)
	}
}

// listClient returns the reader of the platform's list.
func (i *Instance) listClient() *logservice.ListClient {
	i.node.SetPeers(i.cfg.Peers)
	return logservice.NewListClient(logservice.ListConfig{
		BaseURL:  i.cfg.ListURL,
		Client:   i.httpCl,
		Interval: i.cfg.ListInterval,
		Polled: func(l logservice.List, sent time.Time) {
			i.passGate()
			i.core.events.post(func() { i.core.listed(l, sent.Sub(i.epoch)) })
		},
		Failed: func(err error) { i.log.Debug("list_not_read", telemetry.Err(err)) },
	})
}

// peersOf returns the connections to keep: the instances on the list, and those of the settings
// while the list lacks them.
func (i *Instance) peersOf(l logservice.List) []peer.Peer {
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
