package ledger

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/history"
	"ragwortstile/internal/standin/storestand"
	"ragwortstile/internal/store"
)

// tryTurn runs a turn through an instance and reports whether its end was acknowledged within the timeout.
func tryTurn(i *instance, program, turn, previous string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	b := history.Begin{
		Program: program, Turn: turn, Previous: previous, MaxTokens: 10, Budget: 1000, EnforceBudget: true, MaxDuration: time.Minute,
	}
	if _, err := i.Begin(ctx, b); err != nil {
		return false
	}
	if err := i.Confirm(ctx, b); err != nil {
		return false
	}
	return i.End(ctx, history.End{
		Program: program, Turn: turn, Previous: previous, Complete: true,
		Input: []byte("in-" + turn + ";"), Output: []byte("out-" + turn + ";"), Tokens: 5, Retention: testRetention,
	}) == nil
}

// All instances end during an outage of the store: every turn whose end was acknowledged is found afterwards.
func TestTurnsOutliveAllInstancesInAnOutage(t *testing.T) {
	s := storestand.New(3)
	all := []*instance{start(t, "a", 3, s), start(t, "b", 3, s), start(t, "c", 3, s), start(t, "d", 3, s)}
	for i, x := range all {
		runTurn(t, x, fmt.Sprint("p", i), fmt.Sprint("t", i), "")
	}
	time.Sleep(300 * time.Millisecond) // for connections between all pairs
	s.SetFault(refuseAll)
	time.Sleep(storeAnswerTTL)
	acknowledged := make([]bool, len(all))
	for i, x := range all {
		acknowledged[i] = tryTurn(x, fmt.Sprint("p", i), fmt.Sprint("u", i), fmt.Sprint("t", i), 2*stallThreshold)
	}
	for _, x := range all {
		x.kill()
	}
	for _, x := range all {
		<-x.done
	}
	s.SetFault(nil)
	e := start(t, "e", 3, s)
	for i := range all {
		must.Eq(t, fmt.Sprintf("in-t%d;out-t%d;", i, i), runTurn(t, e, fmt.Sprint("p", i), fmt.Sprint("v", i), fmt.Sprint("t", i)))
		if acknowledged[i] {
			must.True(t, tryTurn(e, fmt.Sprint("p", i), fmt.Sprint("w", i), fmt.Sprint("u", i), 5*time.Second),
				must.Sprintf("turn u%d was acknowledged and is not found", i))
		}
	}
}

// A turn that waits for the store when an outage begins is acknowledged once the store is back.
func TestTurnsWaitForTheStore(t *testing.T) {
	s := storestand.New(2)
	a, b := start(t, "a", 2, s), start(t, "b", 2, s)
	runTurn(t, a, "p", "t1", "")
	time.Sleep(300 * time.Millisecond)
	s.SetFault(refuseAll)
	time.AfterFunc(3*stallThreshold, func() { s.SetFault(nil) })
	must.True(t, tryTurn(b, "p", "t2", "t1", 5*time.Second))
	must.Eq(t, "in-t1;out-t1;in-t2;out-t2;", runTurn(t, a, "p", "t3", "t2"))
}

// A turn is adopted by a partition that accepts no records: a repetition must not report that it is stored.
func TestAdoptedTurnIsStored(t *testing.T) {
	s := storestand.New(2)
	a := start(t, "a", 2, s)
	runTurn(t, a, "p", "t1", "")
	other := 1 - a.part("p")
	s.SetFault(func(call string, p store.Partition) storestand.Fault {
		if call == "append" && p.Part == other {
			return storestand.Refuse
		}
		return storestand.None
	})
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		must.Error(t, a.adoptAt(ctx, other, "t1", []byte("in-t1;out-t1;")))
		cancel()
	}
	s.SetFault(nil)
	must.NoError(t, a.adoptAt(within(t, 5*time.Second), other, "t1", []byte("in-t1;out-t1;")))
}

// A turn was written to another partition, and its own partition has changed its holder since: the next turn that
// ends there must not lose the chain before it.
func TestChainOverAnotherPartitionAndAChangeOfHolder(t *testing.T) {
	s := storestand.New(2)
	a := start(t, "a", 2, s)
	runTurn(t, a, "p", "t0", "")
	other := 1 - a.part("p")
	must.NoError(t, a.adoptAt(within(t, 5*time.Second), other, "t1", []byte("in-t1;out-t1;")))
	must.NoError(t, a.End(within(t, 5*time.Second), history.End{
		Program: "p", Turn: "t2", Previous: "t1", Complete: true, Input: []byte("in-t2;"), Output: []byte("out-t2;"), Tokens: 5, Retention: testRetention,
	}))
	must.Eq(t, "in-t1;out-t1;in-t2;out-t2;", runTurn(t, a, "p", "t3", "t2"))
	must.Error(t, a.End(within(t, 300*time.Millisecond), history.End{
		Program: "p", Turn: "t4", Previous: "never", Complete: true, Input: []byte("in-t4;"), Output: []byte("out-t4;"), Tokens: 5, Retention: testRetention,
	}))
}

// shortReads is a store whose first reads return no records although the partition goes on.
type shortReads struct {
	*storestand.Store
	left atomic.Int32
}

func (r *shortReads) Read(ctx context.Context, p store.Partition, from int64, maxBytes int, wait time.Duration) (store.Batch, error) {
	b, err := r.Store.Read(ctx, p, from, maxBytes, wait)
	if r.left.Add(-1) >= 0 {
		b.Records = nil
	}
	return b, err
}

// A read without records that does not reach the end of the partition must not pass for all of it.
func TestReadWithoutRecordsIsNotTheEnd(t *testing.T) {
	s := storestand.New(1)
	a := start(t, "a", 1, s)
	runTurn(t, a, "p", "t1", "")
	a.kill()
	<-a.done
	r := &shortReads{Store: s}
	r.left.Store(2)
	must.Eq(t, "in-t1;out-t1;", runTurn(t, start(t, "b", 1, r), "p", "t2", "t1"))
}
