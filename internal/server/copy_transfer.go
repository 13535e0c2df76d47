package server

import (
	"context"
	"errors"
	"io"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/telemetry"
	"ragwortstile/internal/wire"
)

const (
	// copyTimeout bounds one request to a peer to store, fetch or drop copies. It is also the delay
	// between two tries to drop copies.
	copyTimeout = time.Second
	// dropTries is how often a peer is asked to drop copies.
	dropTries = 5
	// copiesPerTurn is the number of peers that store a copy of a turn while the log is down.
	copiesPerTurn = 2
	// copyRetryDelay is the delay before another attempt to store copies at peers or to fetch them.
	copyRetryDelay = 200 * time.Millisecond
)

// putCopies stores records at two peers, in other availability zones if possible. With only one live
// peer, one copy is enough.
func (c *core) putCopies(a program.PutCopies) {
	batch, err := record.Encode(record.Batch{Session: c.inst.session, Seq: a.Ref, At: time.Now(), Records: a.Records})
	if err != nil {
		c.inst.log.Error("copy_not_encoded", telemetry.Slot(a.Slot), telemetry.Epoch(a.Epoch), telemetry.Err(err))
		return
	}
	m := wire.CopyPut{Copy: wire.Copy{Slot: a.Slot, Epoch: a.Epoch, Session: c.inst.session, Ref: a.Ref, Batch: batch}}
	targets := c.members.copyTargets()
	go c.inst.storeCopy(m, targets, func() {
		c.events.post(func() { c.step(program.CopiesStored{Ref: a.Ref}) })
	})
}

// storeCopy asks peers in order until enough of them have stored the copy. A peer that fails is
// replaced by the next one. If no peer stored the copy, it starts again with the peers that are live
// then.
func (i *Instance) storeCopy(m wire.CopyPut, targets []id.Session, done func()) {
	for i.ctx.Err() == nil {
		acks := 0
		results := make(chan bool, len(targets))
		next := 0
		ask := func() {
			to := targets[next]
			next++
			go func() { results <- i.putCopy(to, m) }()
		}
		for next < len(targets) && next < copiesPerTurn {
			ask()
		}
		for pending := next; pending > 0; pending-- {
			if <-results {
				acks++
			} else if next < len(targets) {
				ask()
				pending++
			}
		}
		if acks >= copiesPerTurn || (acks > 0 && acks >= len(targets)) || (acks > 0 && next >= len(targets)) {
			done()
			return
		}
		sleep(i.ctx, copyRetryDelay)
		targets = i.currentCopyTargets(targets)
	}
}

// currentCopyTargets returns the current targets for copies, or old if the instance is stopping.
func (i *Instance) currentCopyTargets(old []id.Session) []id.Session {
	answer := make(chan []id.Session, 1)
	if !i.core.events.post(func() { answer <- i.core.members.copyTargets() }) {
		return old
	}
	select {
	case targets := <-answer:
		return targets
	case <-i.ctx.Done():
		return old
	}
}

// copySources asks the core loop for members.copySources.
func (i *Instance) copySources() (sessions []id.Session, unknown int) {
	type answer struct {
		sessions []id.Session
		unknown  int
	}
	answers := make(chan answer, 1)
	i.core.events.post(func() {
		sessions, unknown := i.core.members.copySources()
		answers <- answer{sessions, unknown}
	})
	select {
	case a := <-answers:
		return a.sessions, a.unknown
	case <-i.ctx.Done():
		return nil, 0
	}
}

func (i *Instance) putCopy(to id.Session, m wire.CopyPut) bool {
	ctx, cancel := context.WithTimeout(i.ctx, copyTimeout)
	defer cancel()
	_, err := i.node.Request(ctx, to, m)
	return err == nil
}

func (c *core) dropCopies(a program.DropCopies) {
	m := wire.CopyDrop{Slot: a.Slot, Session: c.inst.session, Refs: a.Refs, Below: a.Below}
	for _, to := range c.members.live() {
		go func() {
			// A copy that a peer has not confirmed as dropped after these tries is left to expire.
			for range dropTries {
				ctx, cancel := context.WithTimeout(c.inst.ctx, copyTimeout)
				_, err := c.inst.node.Request(ctx, to, m)
				cancel()
				if err == nil || c.inst.ctx.Err() != nil {
					return
				}
				sleep(c.inst.ctx, copyTimeout)
			}
		}()
	}
	c.inst.copies.drop(m)
}

// fetchCopies collects the copies of a slot from this instance and all live peers, and passes their
// records to the owner core.
func (c *core) fetchCopies(a program.FetchCopies) {
	c.inst.reconcileNow.Store(true) // takeover: the previous holder may have left cache at engines
	go func() {
		found := map[copyKey]wire.Copy{}
		addAll := func(copies []wire.Copy) {
			for _, cp := range copies {
				found[copyKey{slot: cp.Slot, session: cp.Session, ref: cp.Ref}] = cp
			}
		}
		addAll(c.inst.copies.get(a.Slot, a.Epoch))
		answered := map[id.Session]bool{}
		for c.inst.ctx.Err() == nil {
			sources, missing := c.inst.copySources()
			for _, to := range sources {
				if answered[to] {
					continue
				}
				copies, err := c.inst.getCopies(to, a)
				if err != nil {
					missing++
					continue
				}
				answered[to] = true
				addAll(copies)
			}
			if missing == 0 {
				break
			}
			// A peer that does not answer leaves the list of live peers after a few seconds.
			sleep(c.inst.ctx, copyRetryDelay)
		}
		records := c.inst.copiedRecords(found)
		c.events.post(func() { c.step(program.CopiesFetched{Slot: a.Slot, Records: records}) })
	}()
}

func (i *Instance) getCopies(from id.Session, a program.FetchCopies) ([]wire.Copy, error) {
	ctx, cancel := context.WithTimeout(i.ctx, copyTimeout)
	defer cancel()
	x, err := i.node.OpenExchange(ctx, from, wire.CopyGet{Slot: a.Slot, Epoch: a.Epoch})
	if err != nil {
		return nil, err
	}
	defer x.Close()
	var copies []wire.Copy
	for {
		m, err := x.Recv(ctx)
		if errors.Is(err, io.EOF) {
			return copies, nil
		}
		if err != nil {
			return nil, err
		}
		page, ok := m.(wire.Copies)
		if !ok {
			return nil, errUnexpectedReply
		}
		copies = append(copies, page.Copies...)
		if !page.More {
			return copies, nil
		}
	}
}

// copiedRecords decodes copies and returns their records, ordered by epoch, session and reference.
func (i *Instance) copiedRecords(found map[copyKey]wire.Copy) []record.Record {
	copies := make([]wire.Copy, 0, len(found))
	for _, c := range found {
		copies = append(copies, c)
	}
	sortCopies(copies)
	var records []record.Record
	for _, c := range copies {
		b, err := record.Decode(c.Batch)
		if err != nil {
			i.log.Error("copy_not_decoded", telemetry.Slot(c.Slot), telemetry.Epoch(c.Epoch), telemetry.Err(err))
			continue
		}
		records = append(records, b.Records...)
	}
	return records
}

// serveCopies answers a CopyGet in pages of at most copyPageBytes.
func (i *Instance) serveCopies(ctx context.Context, m wire.CopyGet, r *peer.Replier) error {
	copies := i.copies.get(m.Slot, m.Epoch)
	for {
		n, size := 0, 0
		for n < len(copies) && (n == 0 || size+len(copies[n].Batch) <= copyPageBytes) {
			size += len(copies[n].Batch)
			n++
		}
		page := wire.Copies{Copies: copies[:n], More: n < len(copies)}
		copies = copies[n:]
		if !page.More {
			return r.SendLast(ctx, page)
		}
		if err := r.Send(ctx, page); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
