package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/history"
	"ragwortstile/internal/wire"
)

// Permit is the permission to run an attempt.
type Permit struct {
	Body  []byte // text of the chain before the turn; empty if the requester has it
	Begun bool   // the program has spent part of its budget already
}

// Begin requests to run an attempt. The attempt may be sent to an endpoint at once, but its caller must get no part of the response before Confirm
// has returned.
func (l *Ledger) Begin(ctx context.Context, b history.Begin) (Permit, error) {
	part := l.part(b.Program)
	for adopted := false; ; adopted = true {
		outcome, permit, err := l.begin(ctx, part, b)
		if err != nil {
			return Permit{}, err
		}
		switch outcome {
		case history.Granted:
			return permit, nil
		case history.OverBudget:
			return Permit{}, ErrOverBudget
		case history.MustWait:
			return Permit{}, fmt.Errorf("%w: the budget is taken up by running turns", ErrUnavailable)
		}
		if adopted {
			return Permit{}, fmt.Errorf("%w: the adopted turn is missing", ErrUnavailable)
		}
		if err := l.adopt(ctx, part, b.Previous); err != nil {
			return Permit{}, err
		}
	}
}

func (l *Ledger) begin(ctx context.Context, part int, b history.Begin) (outcome history.Outcome, permit Permit, err error) {
	err = l.ask(ctx, part, func(ctx context.Context, ld *leader) (err error) {
		outcome, permit, err = ld.begin(ctx, b)
		return err
	}, wire.TurnBegin{Part: part, Begin: b}, func(m wire.Message) error {
		begun, ok := m.(wire.TurnBegun)
		if !ok {
			return fmt.Errorf("%w: %s", errUnexpectedReply, m.Kind())
		}
		outcome, permit = begun.Outcome, Permit{Body: begun.Body, Begun: begun.Begun}
		return nil
	})
	return outcome, permit, err
}

// Confirm waits until the grant of an attempt is in the store or, during an outage, held as copies by peers. If
// the holder has changed since Begin, the attempt is granted again.
func (l *Ledger) Confirm(ctx context.Context, b history.Begin) error {
	if !b.EnforceBudget {
		return nil
	}
	part := l.part(b.Program)
	for ctx.Err() == nil {
		err := l.askOnce(ctx, part, func(ctx context.Context, ld *leader) error {
			return ld.confirm(ctx, b.Program, b.Turn)
		}, wire.TurnConfirm{Part: part, Program: b.Program, Turn: b.Turn}, expectAck)
		if err == nil {
			return nil
		}
		b.HasChain = true
		if _, err := l.Begin(ctx, b); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
}

// End reports the end of an attempt. For a complete turn it returns once the turn is in the store, in another partition
// while its own accepts no records.
func (l *Ledger) End(ctx context.Context, e history.End) error {
	part := l.part(e.Program)
	return l.ask(ctx, part, func(ctx context.Context, ld *leader) error {
		return l.endAt(ctx, ld, e)
	}, wire.TurnEnd{Part: part, End: e}, expectAck)
}

// endAt applies the end of an attempt at the holder of its partition. The partition lacks the previous turn if an earlier
// holder could write that only to another partition; it is adopted first, so that the chain stays whole.
func (l *Ledger) endAt(ctx context.Context, ld *leader, e history.End) error {
	err := ld.end(ctx, e)
	if !errors.Is(err, errNoPrevious) {
		return err
	}
	if err := l.adopt(ctx, ld.part.Part, e.Previous); err != nil {
		return fmt.Errorf("previous turn %s: %w", e.Previous, err)
	}
	return ld.end(ctx, e)
}

// adopt finds a turn in another partition and adds it with its chain to the given one.
func (l *Ledger) adopt(ctx context.Context, part int, turn string) error {
	body, err := l.find(ctx, turn)
	if err != nil {
		return err
	}
	return l.adoptAt(ctx, part, turn, body, 0)
}

// adoptAt adds the chain of a turn to a partition, for the longest known retention and at least the given one.
func (l *Ledger) adoptAt(ctx context.Context, part int, turn string, body []byte, retention time.Duration) error {
	l.mu.Lock()
	retention = max(retention, l.retention)
	l.mu.Unlock()
	return l.ask(ctx, part, func(ctx context.Context, ld *leader) error {
		return ld.adopt(ctx, turn, body, retention)
	}, wire.TurnAdopt{Part: part, Turn: turn, Body: body, Retention: retention}, expectAck)
}

// find looks for a turn in all partitions. It returns ErrUnknownTurn only if all partitions were searched.
func (l *Ledger) find(ctx context.Context, turn string) ([]byte, error) {
	for {
		found, searched := l.findOnce(ctx, turn)
		if found.Found {
			return found.Body, nil
		}
		if searched >= l.cfg.Parts && found.Doubtful {
			return nil, fmt.Errorf("%w: records may have been lost with the memory of instances", ErrUnavailable)
		}
		if searched >= l.cfg.Parts {
			l.cfg.Log.WithFields(logrus.Fields{"call": turn, "count": searched}).Info("turn is in no partition")
			return nil, ErrUnknownTurn
		}
		l.notify(l.refreshHolders)
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %d of %d partitions searched", ErrUnavailable, searched, l.cfg.Parts)
		case <-time.After(2 * retryDelay):
		}
	}
}

func (l *Ledger) findOnce(ctx context.Context, turn string) (wire.TurnFound, int) {
	actx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	remotes := l.cfg.Node.Connected() // instances without a partition may hold copies
	answers := make(chan wire.TurnFound, len(remotes)+1)
	for _, r := range remotes {
		go func() {
			reply, err := l.cfg.Node.Request(actx, r.Session, wire.TurnFind{Turn: turn})
			if err != nil {
				l.cfg.Log.WithFields(logrus.Fields{"peer": string(r.Session), "reason": err.Error()}).Debug("search for a turn at a peer failed")
			}
			found, _ := reply.(wire.TurnFound)
			answers <- found
		}()
	}
	answers <- l.searchLocal(actx, turn)
	searched, doubtful := make(map[int]bool), false
	for range len(remotes) + 1 {
		found := <-answers
		if found.Found {
			return found, 0
		}
		doubtful = doubtful || found.Doubtful
		for _, p := range found.Parts {
			searched[p] = true
		}
	}
	return wire.TurnFound{Doubtful: doubtful}, len(searched)
}

// searchLocal looks for a turn in the partitions that this instance holds.
func (l *Ledger) searchLocal(ctx context.Context, turn string) wire.TurnFound {
	leaders := l.allLeaders()
	found := wire.TurnFound{Doubtful: l.doubtful()}
	for _, ld := range leaders {
		body, ok, err := ld.find(ctx, turn)
		if ok {
			return wire.TurnFound{Found: true, Body: body}
		}
		if err != nil {
			l.cfg.Log.WithFields(logrus.Fields{"part": ld.part.Part, "reason": err.Error()}).Info("partition not searched")
			continue
		}
		found.Parts = append(found.Parts, ld.part.Part)
		found.Doubtful = found.Doubtful || ld.recentlyClaimed(time.Now())
	}
	return found
}
