package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/wire"
)

// findHolder returns the local leader of a partition, or the session of the instance that holds it.
func (l *Ledger) findHolder(part int) (*leader, id.Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ld := l.leaders[part]; ld != nil && !ld.isClosed() {
		return ld, "", nil
	}
	p, ok := splitMember(l.holders[part])
	if !ok {
		return nil, "", fmt.Errorf("partition %d has no holder: %w", part, ErrUnavailable)
	}
	session, ok := l.cfg.Node.Session(p.Instance)
	if !ok {
		return nil, "", fmt.Errorf("holder %s of partition %d is out of reach: %w", p.Instance, part, ErrUnavailable)
	}
	return nil, session, nil
}

// ask sends a request to the holder of a partition and repeats it until it is answered or the context ends.
// local handles it if this instance is the holder; otherwise remote is sent, and onReply handles the reply.
func (l *Ledger) ask(
	ctx context.Context, part int, local func(context.Context, *leader) error, remote wire.Message, onReply func(wire.Message) error,
) error {
	for {
		err := l.askOnce(ctx, part, local, remote, onReply)
		if err == nil || errors.Is(err, errUnexpectedReply) {
			return err
		}
		if ctx.Err() != nil || l.Isolated() {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		l.notify(l.refreshHolders)
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		case <-time.After(retryDelay):
		}
	}
}

func (l *Ledger) askOnce(
	ctx context.Context, part int, local func(context.Context, *leader) error, remote wire.Message, onReply func(wire.Message) error,
) error {
	ld, session, err := l.findHolder(part)
	if err != nil {
		return err
	}
	actx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if ld != nil {
		return local(actx, ld)
	}
	reply, err := l.cfg.Node.Request(actx, session, remote)
	if err != nil {
		return err
	}
	return onReply(reply)
}

// AskHolder sends a request about a key to the instance that holds the partition of the key, once. local handles it if
// this instance is the holder; otherwise onReply handles the reply to remote.
func (l *Ledger) AskHolder(ctx context.Context, key string, local func() error, remote wire.Message, onReply func(wire.Message) error) error {
	err := l.askOnce(ctx, l.part(key), func(context.Context, *leader) error {
		if !l.Holds(key) {
			return ErrUnavailable
		}
		return local()
	}, remote, onReply)
	var refused wire.Error
	if err != nil && (!errors.As(err, &refused) || refused.Code == wire.CodeNotHolder) {
		l.notify(l.refreshHolders)
	}
	return err
}

// Holds reports whether this instance holds the partition of a key, and knows of no later holder.
func (l *Ledger) Holds(key string) bool {
	part := l.part(key)
	l.mu.Lock()
	ld, newest := l.leaders[part], l.claims[part]
	l.mu.Unlock()
	return ld != nil && ld.isServing() && !ld.olderThan(newest)
}

var errUnexpectedReply = errors.New("reply of an unexpected kind")

func expectAck(m wire.Message) error {
	if _, ok := m.(wire.Ack); !ok {
		return fmt.Errorf("%w: %s", errUnexpectedReply, m.Kind())
	}
	return nil
}

// HandleRequest answers a request of a peer. It returns false for messages of other kinds.
func (l *Ledger) HandleRequest(ctx context.Context, m wire.Message, r *peer.Replier) (bool, error) {
	switch m := m.(type) {
	case wire.TurnBegin:
		return true, l.withLeader(m.Part, func(ld *leader) error {
			outcome, permit, err := ld.begin(ctx, m.Begin)
			if err != nil {
				return err
			}
			return r.SendLast(ctx, wire.TurnBegun{Outcome: outcome, Body: permit.Body, Begun: permit.Begun})
		})
	case wire.TurnConfirm:
		return true, l.withLeaderAck(ctx, r, m.Part, func(ld *leader) error { return ld.confirm(ctx, m.Program, m.Turn) })
	case wire.TurnEnd:
		return true, l.withLeaderAck(ctx, r, m.Part, func(ld *leader) error { return l.endAt(ctx, ld, m.End) })
	case wire.TurnAdopt:
		return true, l.withLeaderAck(ctx, r, m.Part, func(ld *leader) error { return ld.adopt(ctx, m.Turn, m.Body, m.Retention) })
	case wire.HistoryHold:
		return true, r.SendLast(ctx, l.serveHold(m))
	case wire.HistoryIndex:
		return true, r.SendLast(ctx, l.serveIndex(m))
	case wire.HistoryCollect:
		return true, r.SendLast(ctx, wire.HistoryCollected{Records: l.copies.get(m.Part, m.Sums)})
	case wire.TurnFind:
		return true, r.SendLast(ctx, l.searchLocal(ctx, m.Turn))
	default:
		return false, nil
	}
}

func (l *Ledger) withLeader(part int, f func(*leader) error) error {
	ld := l.leader(part)
	if ld == nil {
		return wire.Error{Code: wire.CodeNotHolder}
	}
	err := f(ld)
	if errors.Is(err, errNotHolder) {
		return wire.Error{Code: wire.CodeNotHolder}
	}
	return err
}

func (l *Ledger) withLeaderAck(ctx context.Context, r *peer.Replier, part int, f func(*leader) error) error {
	return l.withLeader(part, func(ld *leader) error {
		if err := f(ld); err != nil {
			return err
		}
		return r.SendLast(ctx, wire.Ack{})
	})
}
