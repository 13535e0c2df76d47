package ledger

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/history"
	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/standin/storestand"
	"ragwortstile/internal/store"
	"ragwortstile/internal/wire"
)

func quietLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

const testRetention = time.Minute

type handler struct{ ledger *Ledger }

func (h *handler) Connected(r peer.Remote)         { h.ledger.Connected(r) }
func (h *handler) Disconnected(peer.Remote, error) {}
func (h *handler) Receive(r peer.Remote, m wire.Message) {
	switch m := m.(type) {
	case wire.PartitionClaims:
		h.ledger.HandlePartitionClaims(m)
	case wire.HistoryStored:
		h.ledger.HandleStored(m)
	case wire.HistoryOffer:
		h.ledger.HandleOffer(r, m)
	case wire.GroupChanged:
		h.ledger.HandleGroupChanged(r, m)
	}
}
func (h *handler) Serve(ctx context.Context, _ peer.Remote, m wire.Message, r *peer.Replier) error {
	_, err := h.ledger.HandleRequest(ctx, m, r)
	return err
}

// instance is a ledger with its peer connections.
type instance struct {
	*Ledger
	kill context.CancelFunc
	done chan struct{}
}

func start(t *testing.T, name string, parts int, s Store) *instance {
	t.Helper()
	return startWith(t, name, parts, s, 0)
}

// startWith starts an instance whose store keeps records for some time.
func startWith(t *testing.T, name string, parts int, s Store, recordRetention time.Duration) *instance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return startAt(t, name, parts, s, recordRetention, l, l.Addr().String())
}

// startAt starts an instance that listens for peers, which reach it at an address.
func startAt(t *testing.T, name string, parts int, s Store, recordRetention time.Duration, l net.Listener, peerAddr string) *instance {
	t.Helper()
	keys, err := peer.NewKeyring([]byte("a key of the instances of a test"))
	must.NoError(t, err)
	h := &handler{}
	node, err := peer.New(peer.Config{
		Session: id.Session(name + "." + rand.Text()), Zone: "z", Handler: h, Log: quietLog(), Keys: keys,
		IdleTimeout: time.Second, MaxBackoff: 100 * time.Millisecond,
	})
	must.NoError(t, err)
	h.ledger = New(Config{
		Instance: name, PeerAddr: peerAddr, Parts: parts, MaxCallBytes: 1 << 20, RecordBytes: 1 << 18, MinTTL: 200 * time.Millisecond,
		RecordRetention: recordRetention, Store: s, Node: node, Log: quietLog(), OnStoreResult: func(error) {},
	})
	h.ledger.SetRetention(testRetention)
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{Ledger: h.ledger, kill: cancel, done: make(chan struct{})}
	go func() { _ = node.Serve(ctx, l) }()
	go func() {
		defer close(i.done)
		_ = h.ledger.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-i.done
	})
	return i
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// runTurn runs a complete turn through an instance and returns the text before it.
func runTurn(t *testing.T, i *instance, program, turn, previous string) string {
	t.Helper()
	ctx := within(t, 5*time.Second)
	b := history.Begin{
		Program: program, Turn: turn, Previous: previous, MaxTokens: 10, Budget: 1000, EnforceBudget: true, MaxDuration: time.Minute,
	}
	permit, err := i.Begin(ctx, b)
	must.NoError(t, err)
	must.NoError(t, i.Confirm(ctx, b))
	must.NoError(t, i.End(ctx, history.End{
		Program: program, Turn: turn, Previous: previous, Complete: true,
		Input: []byte("in-" + turn + ";"), Output: []byte("out-" + turn + ";"), Tokens: 5, Retention: testRetention,
	}))
	return string(permit.Body)
}

func TestTurnsAreFoundThroughEveryInstance(t *testing.T) {
	s := storestand.New(4)
	a, b := start(t, "a", 4, s), start(t, "b", 4, s)
	must.Eq(t, "", runTurn(t, a, "p", "t1", ""))
	must.Eq(t, "in-t1;out-t1;", runTurn(t, b, "p", "t2", "t1"))
	must.Eq(t, "in-t1;out-t1;in-t2;out-t2;", runTurn(t, a, "p", "t3", "t2"))
	must.Eq(t, "in-t1;out-t1;", runTurn(t, a, "p", "t4", "t1"))
}

func TestAnotherProgramContinuesATurn(t *testing.T) {
	s := storestand.New(4)
	a := start(t, "a", 4, s)
	runTurn(t, a, "p", "t1", "")
	for _, program := range []string{"q", "r", "s", "u", "v"} {
		must.Eq(t, "in-t1;out-t1;", runTurn(t, a, program, "t-"+program, "t1"))
	}
	time.Sleep(lateCopyWindow)
	_, err := a.Begin(within(t, 5*time.Second), history.Begin{Program: "p", Turn: "x", Previous: "never"})
	must.ErrorIs(t, err, ErrUnknownTurn)
}

// All instances are killed and restart under their names, so that the group does not assign anything anew and
// the generation stays the same. The partitions must still be claimed under a new epoch.
func TestRestartWithinAGeneration(t *testing.T) {
	s := storestand.New(3)
	a := start(t, "a", 3, s)
	runTurn(t, a, "p", "t1", "")
	for i := range 6 { // more appends than the store remembers the responses of
		runTurn(t, a, "p", fmt.Sprint("u", i), "t1")
	}
	// A killed instance does not leave the group, so the membership stays.
	s.SetFault(func(call string, _ store.Partition) storestand.Fault {
		if call == "leave" {
			return storestand.Refuse
		}
		return storestand.None
	})
	addr := a.cfg.PeerAddr
	a.kill()
	<-a.done
	b := start(t, "a", 3, renamed{s, "a@" + addr})
	must.Eq(t, "in-t1;out-t1;", runTurn(t, b, "p", "t2", "t1"))
}

// renamed is a store that is joined under the member name of an earlier run.
type renamed struct {
	*storestand.Store
	member string
}

func (r renamed) Join(ctx context.Context, group, _ string, topics []string, ttl time.Duration, generation int64) (store.Membership, error) {
	return r.Store.Join(ctx, group, r.member, topics, ttl, generation)
}

// A holder that was replaced without noticing must not report that a turn unknown to it does not exist.
func TestReplacedHolderDoesNotDenyTurns(t *testing.T) {
	s := storestand.New(1)
	cut := atomic.Bool{}
	a := start(t, "a", 1, cutOff{s, &cut})
	runTurn(t, a, "p", "t1", "")
	// a loses the store; b takes over and runs a turn.
	cut.Store(true)
	b := start(t, "b", 1, s)
	must.Eq(t, "in-t1;out-t1;", runTurn(t, b, "p", "t2", "t1"))
	_, err := a.Begin(within(t, 400*time.Millisecond), history.Begin{Program: "p", Turn: "t3", Previous: "t2"})
	must.Error(t, err)
	must.False(t, errors.Is(err, ErrUnknownTurn))
	cut.Store(false)
	must.Eq(t, "in-t1;out-t1;in-t2;out-t2;", runTurn(t, a, "p", "t4", "t2"))
}

// A holder whose store calls fail, and that was replaced, sends its requests to the new holder.
func TestReplacedHolderAsksTheNewOne(t *testing.T) {
	s := storestand.New(1)
	cut := atomic.Bool{}
	a := start(t, "a", 1, cutOff{s, &cut})
	runTurn(t, a, "p", "t1", "")
	b := start(t, "b", 1, s)
	time.Sleep(800 * time.Millisecond) // b lets the holder dial first, then connects
	cut.Store(true)
	must.Eq(t, "in-t1;out-t1;", runTurn(t, b, "p", "t2", "t1"))
	must.Eq(t, "in-t1;out-t1;in-t2;out-t2;", runTurn(t, a, "p", "t3", "t2"))
}

// cutOff is a store that can be made unavailable for one instance.
type cutOff struct {
	*storestand.Store
	cut *atomic.Bool
}

func (c cutOff) Append(ctx context.Context, a store.AppendRequest) (int64, error) {
	if c.cut.Load() {
		return 0, store.ErrUnavailable
	}
	return c.Store.Append(ctx, a)
}

func (c cutOff) Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (store.Membership, error) {
	if c.cut.Load() {
		return store.Membership{}, store.ErrUnavailable
	}
	return c.Store.Join(ctx, group, member, topics, ttl, generation)
}

// Responses of the store are lost: every turn is still confirmed, and stored once.
func TestLostStoreResponses(t *testing.T) {
	s := storestand.New(2)
	a := start(t, "a", 2, s)
	runTurn(t, a, "p", "t0", "")
	n := 0
	s.SetFault(func(call string, _ store.Partition) storestand.Fault {
		if n++; call == "append" && n%2 == 0 {
			return storestand.LoseAnswer
		}
		return storestand.None
	})
	want, previous := "in-t0;out-t0;", "t0"
	for i := range 10 {
		turn := "t" + string(rune('a'+i))
		must.Eq(t, want, runTurn(t, a, "p", turn, previous))
		want += "in-" + turn + ";out-" + turn + ";"
		previous = turn
	}
}

// Partitions are reassigned while turns run.
func TestPartitionsAreReassigned(t *testing.T) {
	s := storestand.New(4)
	a, b := start(t, "a", 4, s), start(t, "b", 4, s)
	want, previous := "", ""
	for i := range 12 {
		turn := "t" + string(rune('a'+i))
		must.Eq(t, want, runTurn(t, []*instance{a, b}[i%2], "p", turn, previous))
		want += "in-" + turn + ";out-" + turn + ";"
		previous = turn
		if i%4 == 1 {
			s.RotateOwners(group)
		}
	}
}

// The budget holds across instances, and across a restart of all of them.
func TestBudgetOverInstances(t *testing.T) {
	s := storestand.New(2)
	a, b := start(t, "a", 2, s), start(t, "b", 2, s)
	begin := func(i *instance, turn string) error {
		ctx := within(t, 2*time.Second)
		x := history.Begin{Program: "p", Turn: turn, MaxTokens: 40, Budget: 100, EnforceBudget: true, MaxDuration: time.Minute}
		if _, err := i.Begin(ctx, x); err != nil {
			return err
		}
		return i.Confirm(ctx, x)
	}
	must.NoError(t, begin(a, "t1"))
	must.NoError(t, begin(b, "t2"))
	err := begin(a, "t3") // waits for the others, which don't end
	must.ErrorIs(t, err, ErrUnavailable)
	must.NoError(t, a.End(within(t, time.Second), history.End{Program: "p", Turn: "t1", Tokens: 40}))
	must.NoError(t, b.End(within(t, time.Second), history.End{Program: "p", Turn: "t2", Tokens: 40}))
	must.ErrorIs(t, begin(b, "t4"), ErrOverBudget)
	time.Sleep(50 * time.Millisecond) // the ends of attempts are written asynchronously
	a.kill()
	b.kill()
	<-a.done
	<-b.done
	c := start(t, "c", 2, s)
	must.ErrorIs(t, begin(c, "t5"), ErrOverBudget)
}

// refuseAll makes all calls of the store fail.
func refuseAll(call string, _ store.Partition) storestand.Fault { return storestand.Refuse }

// Turns that end during an outage of the store are acknowledged once it is back, even if holders stopped in between.
// Then every instance finds them.
func TestTurnsDuringAnOutage(t *testing.T) {
	s := storestand.New(3)
	all := []*instance{start(t, "a", 3, s), start(t, "b", 3, s), start(t, "c", 3, s), start(t, "d", 3, s)}
	for i, x := range all {
		runTurn(t, x, fmt.Sprint("p", i), fmt.Sprint("t", i), "")
	}
	time.Sleep(300 * time.Millisecond) // for connections between all pairs
	s.SetFault(refuseAll)
	time.Sleep(storeAnswerTTL)
	acknowledged := make(chan bool, len(all))
	for i, x := range all[1:] {
		go func() {
			acknowledged <- tryTurn(x, fmt.Sprint("p", i+1), fmt.Sprint("u", i+1), fmt.Sprint("t", i+1), 10*time.Second)
		}()
	}
	time.Sleep(2 * stallThreshold)
	must.Eq(t, 0, len(acknowledged))
	// A planned stop during the outage.
	all[0].Leave(context.Background())
	all[0].kill()
	<-all[0].done
	s.SetFault(nil)
	for range all[1:] {
		must.True(t, <-acknowledged)
	}
	find := func(through *instance, turn string) {
		for i := 1; i < len(all); i++ {
			got := runTurn(t, through, fmt.Sprint("p", i), fmt.Sprint(turn, i), fmt.Sprint("u", i))
			must.Eq(t, fmt.Sprintf("in-t%d;out-t%d;in-u%d;out-u%d;", i, i, i, i), got)
		}
	}
	find(all[1], "v")
	for _, x := range all[1:] {
		x.kill()
		<-x.done
	}
	find(start(t, "e", 3, s), "w")
}

// A holder is killed during the outage. Its peers hold copies of what its programs spent, whether their turns ended
// complete or not.
func TestCopiesOutliveAKilledHolder(t *testing.T) {
	s := storestand.New(3)
	all := []*instance{start(t, "a", 3, s), start(t, "b", 3, s), start(t, "c", 3, s), start(t, "d", 3, s)}
	begin := func(program, turn string, tokens int64) history.Begin {
		return history.Begin{Program: program, Turn: turn, MaxTokens: tokens, Budget: 150, EnforceBudget: true, MaxDuration: time.Minute}
	}
	attempt := func(program, turn string, tokens int64, complete bool) error {
		ctx := within(t, 5*time.Second)
		b := begin(program, turn, 45)
		_, err := all[0].Begin(ctx, b)
		must.NoError(t, err)
		must.NoError(t, all[0].Confirm(ctx, b))
		ctx, cancel := context.WithTimeout(ctx, 2*stallThreshold)
		defer cancel()
		return all[0].End(ctx, history.End{
			Program: program, Turn: turn, Complete: complete, Output: []byte("out"), Tokens: tokens, Reserved: 45, Confirmed: true, Retention: testRetention,
		})
	}
	programs := []string{"p", "q"}
	must.NotEq(t, all[0].part("p"), all[0].part("q"))
	for _, program := range programs {
		must.NoError(t, attempt(program, "t1", 5, true))
	}
	time.Sleep(800 * time.Millisecond) // for connections between all pairs
	s.SetFault(refuseAll)
	time.Sleep(storeAnswerTTL)
	var killed []*instance
	for _, program := range programs {
		complete := program == "q"
		for _, turn := range []string{"t2", "t3"} {
			must.Eq(t, complete, attempt(program, turn, 45, complete) != nil)
		}
	}
	time.Sleep(2 * stallThreshold)
	left := slices.Clone(all)
	for i := len(left) - 1; i >= 0; i-- {
		if x := left[i]; x.Holds("p") || x.Holds("q") {
			killed, left = append(killed, x), slices.Delete(left, i, i+1)
		}
	}
	must.Len(t, 2, killed)
	for _, x := range killed {
		x.kill()
		<-x.done
		x.copies = newCopies()
	}
	s.SetFault(nil)
	for _, program := range programs {
		_, err := left[0].Begin(within(t, 5*time.Second), begin(program, "t4", 55))
		must.ErrorIs(t, err, ErrOverBudget)
	}
}

// The store comes back with an empty group, and an instance that has just started and has no peers yet claims
// all partitions. It must get the copies of the outage once their holders find it, also of turns that a holder of an
// earlier version acknowledged with copies alone.
func TestCopiesReachAHolderThatKnowsNobody(t *testing.T) {
	s := storestand.New(2)
	cut := atomic.Bool{}
	all := []*instance{start(t, "a", 2, cutOff{s, &cut}), start(t, "b", 2, cutOff{s, &cut}), start(t, "c", 2, cutOff{s, &cut})}
	runTurn(t, all[0], "p", "t1", "")
	time.Sleep(800 * time.Millisecond)
	s.SetFault(refuseAll)
	time.Sleep(storeAnswerTTL)
	record := encodedTurn(t, "p", "t2", "t1")
	for _, x := range all[1:] {
		must.True(t, x.copies.put(x.part("p"), 1<<30, [][]byte{record}, time.Now()))
	}
	cut.Store(true) // the others reach the store later
	s.SetFault(nil)
	s.ExpireMembers(group)
	d := start(t, "d", 2, s)
	time.Sleep(3 * soleMemberDelay)
	held, _ := d.HeldCounts()
	must.Eq(t, 2, held)
	cut.Store(false)
	// Until the copies arrive the outcome is unknown; ErrUnknownTurn would be wrong.
	err := ErrUnavailable
	for ends := time.Now().Add(lateCopyWindow); errors.Is(err, ErrUnavailable) && time.Now().Before(ends); {
		_, err = d.Begin(within(t, lateCopyWindow), history.Begin{Program: "p", Turn: "t3", Previous: "t2"})
	}
	must.NoError(t, err)
	must.Eq(t, "in-t1;out-t1;in-t2;out-t2;", runTurn(t, d, "p", "t3", "t2"))
}

func encodedTurn(t *testing.T, program, turn, previous string) []byte {
	t.Helper()
	record, err := history.Record{
		Kind: history.RecordTurn, At: time.Now().UnixMilli(), Program: program, Turn: turn, Previous: previous,
		Input: []byte("in-" + turn + ";"), Output: []byte("out-" + turn + ";"), RetentionMs: testRetention.Milliseconds(),
	}.Encode()
	must.NoError(t, err)
	return record
}

// A peer that was out of reach at a claim offers its copies when it learns about the claim.
func TestCopiesAreOffered(t *testing.T) {
	s := storestand.New(1)
	a := start(t, "a", 1, s)
	runTurn(t, a, "p", "t1", "")
	b := start(t, "b", 1, s)
	time.Sleep(800 * time.Millisecond) // b lets the holder dial first, then connects
	must.True(t, b.copies.put(0, 1<<30, [][]byte{encodedTurn(t, "p", "t2", "t1")}, time.Now()))
	a.announceClaim(0, 1<<40)
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, "in-t1;out-t1;in-t2;out-t2;", runTurn(t, a, "p", "t3", "t2"))
}

// An instance that stops hands its copies over to the required number of peers, not to all. Otherwise a rolling
// restart during an outage would soon spread all copies to all instances.
func TestHandoverGoesToFewPeers(t *testing.T) {
	s := storestand.New(6)
	var all []*instance
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		all = append(all, start(t, name, 6, s))
	}
	runTurn(t, all[0], "p", "t1", "")
	time.Sleep(800 * time.Millisecond)
	f := all[5]
	must.True(t, f.copies.put(0, 1<<40, [][]byte{[]byte("record")}, time.Now()))
	must.Less(t, len(f.cfg.Node.Connected()), requiredCopies)
	f.handoverAll(context.Background())
	holding := 0
	for _, x := range all[:5] {
		holding += len(x.copies.fenceAndList(0, 0))
	}
	must.Eq(t, requiredCopies, holding)
}

// For some time after an outage of the store, a turn that is not found is not reported as unknown, not even by
// instances that hold no copies.
func TestNoDenialAfterAnOutage(t *testing.T) {
	s := storestand.New(2)
	a := start(t, "a", 2, s)
	runTurn(t, a, "p", "t1", "")
	time.Sleep(lateCopyWindow)
	_, err := a.Begin(within(t, 2*time.Second), history.Begin{Program: "p", Turn: "x", Previous: "never"})
	must.ErrorIs(t, err, ErrUnknownTurn)
	s.SetFault(refuseAll)
	time.Sleep(2 * stallThreshold)
	s.SetFault(nil)
	_, err = a.Begin(within(t, 2*time.Second), history.Begin{Program: "p", Turn: "x", Previous: "never"})
	must.ErrorIs(t, err, ErrUnavailable)
}

// The store accepts no records of one partition but serves the others. Complete turns are written to another
// partition, so that they survive the loss of all instances.
func TestTurnsOfAnUnavailablePartition(t *testing.T) {
	s := storestand.New(4)
	a, b, c := start(t, "a", 4, s), start(t, "b", 4, s), start(t, "c", 4, s)
	runTurn(t, a, "p", "t1", "")
	time.Sleep(300 * time.Millisecond)
	stuck := a.part("p")
	s.SetFault(func(call string, p store.Partition) storestand.Fault {
		if call == "append" && p.Part == stuck {
			return storestand.Refuse
		}
		return storestand.None
	})
	must.Eq(t, "in-t1;out-t1;", runTurn(t, a, "p", "t2", "t1"))
	for _, x := range []*instance{a, b, c} {
		x.kill()
		<-x.done
	}
	s.SetFault(nil)
	d := start(t, "d", 4, s)
	must.Eq(t, "in-t1;out-t1;in-t2;out-t2;", runTurn(t, d, "p", "t3", "t2"))
}
