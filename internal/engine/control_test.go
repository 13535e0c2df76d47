package engine_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/engine"
	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/standin/enginestand"
)

func complete(t *testing.T, f *fleet, n uint64, cacheTag, text string) program.Finished {
	t.Helper()
	d := call(n, false, messages(text))
	d.CacheTag = cacheTag
	fin := f.Complete(t.Context(), d, nil)
	must.Eq(t, sched.ResultOK, fin.Result)
	return fin
}

// Guards against cache that stays allocated, or stays in the list, after a release, an eviction or a
// restart.
func TestCacheListAndRelease(t *testing.T) {
	checkGoroutines(t)
	e := newEngine(t, enginestand.Settings{CacheTokens: 300})
	f := newFleet(t, engine.Config{}, e)
	complete(t, f, 1, "p00-x/main", long(60))
	complete(t, f, 2, "p00-x/sub", long(60))
	complete(t, f, 3, "p01-y/main", long(60))
	list, err := f.ListCache(t.Context(), "e1")
	must.NoError(t, err)
	must.Eq(t, program.CacheHeld{Endpoint: "e1", Programs: []id.Program{"p00-x", "p01-y"}}, list.Held())

	must.NoError(t, f.ReleaseBranch(t.Context(), "e1", "p00-x", "sub"))
	must.Eq(t, 2, len(e.TokensByTag()))
	for range 2 { // a second release finds no cache and succeeds
		released, err := f.Release(t.Context(), program.ReleaseCache{Endpoint: "e1", Program: "p00-x"})
		must.NoError(t, err)
		must.Eq(t, program.CacheReleased{Program: "p00-x", Endpoint: "e1"}, released)
	}
	must.Eq(t, 1, len(e.TokensByTag()))
	complete(t, f, 4, "p02-z/main", long(250))
	must.MapNotContainsKey(t, e.TokensByTag(), "p01-y/main")
	must.Positive(t, e.Stats().WastedTokens)
	e.Restart()
	list, err = f.ListCache(t.Context(), "e1")
	must.NoError(t, err)
	must.Eq(t, engine.CacheList{Endpoint: "e1", Generation: 2}, list)
	_, err = f.Release(t.Context(), program.ReleaseCache{Endpoint: "nobody", Program: "p00-x"})
	must.ErrorIs(t, err, engine.ErrUnavailable)
}

// Guards against lost cache events that are not reported, and against events that are read twice.
func TestCacheEvents(t *testing.T) {
	checkGoroutines(t)
	e := newEngine(t, enginestand.Settings{Scale: 1, DropEventEvery: 4, EventDelay: 300 * time.Millisecond, DecodeBase: time.Microsecond, PrefillRate: 1e9})
	f := newFleet(t, engine.Config{}, e)
	complete(t, f, 1, "p00-x/main", "a") // events 0 and 1: after the prefill and at the end of the answer
	events, err := f.CacheEvents(t.Context(), "e1", 0)
	must.NoError(t, err)
	must.Eq(t, engine.CacheEvents{Generation: 1}, events) // the engine publishes events after EventDelay
	time.Sleep(350 * time.Millisecond)
	events, err = f.CacheEvents(t.Context(), "e1", 0)
	must.NoError(t, err)
	must.Eq(t, 2, len(events.Events))
	must.False(t, events.Lost)
	must.Eq(t, sched.CacheEvent{Endpoint: "e1", Kind: sched.CacheStored, Program: "p00-x", Branch: "main", Tokens: events.Events[0].Tokens}, events.Events[0])

	complete(t, f, 2, "p00-x/b", "b") // event 3 is lost
	complete(t, f, 3, "p00-x/c", "c")
	time.Sleep(350 * time.Millisecond)
	events, err = f.CacheEvents(t.Context(), "e1", events.Next)
	must.NoError(t, err)
	must.True(t, events.Lost)
	must.Eq(t, 3, len(events.Events))
	must.Eq(t, 6, events.Next)

	e.Restart()
	events, err = f.CacheEvents(t.Context(), "e1", events.Next)
	must.NoError(t, err)
	must.Eq(t, engine.CacheEvents{Generation: 2, Lost: true}, events)
}

// Guards against a move after which the target engine does not use the cache, and against a failed move
// that fails the call.
func TestMoveCache(t *testing.T) {
	checkGoroutines(t)
	e1, e2 := newEngine(t, enginestand.Settings{}), newEngine(t, enginestand.Settings{})
	f := newFleet(t, engine.Config{}, e1, e2)
	complete(t, f, 1, tag, long(300))
	d := call(2, false, messages(long(300), "more"))
	d.Endpoint = "e2"
	d.MoveFrom = "e1"
	fin := f.Complete(t.Context(), d, nil)
	must.Eq(t, sched.ResultOK, fin.Result)
	must.GreaterEq(t, 300, fin.CachedTokens)
	must.ErrorIs(t, f.MoveCache(t.Context(), "e1", "e2", "p01-none/main"), engine.ErrNotFound)

	d = call(3, false, messages("cold"))
	d.Endpoint = "e2"
	d.MoveFrom = "nobody"
	must.Eq(t, sched.ResultOK, f.Complete(t.Context(), d, nil).Result)
	must.ErrorIs(t, f.errs.last(), engine.ErrUnavailable)
}

// Guards against a previous controller whose orders override those of the current one, and against a
// success at an engine that ignores fencing tokens being taken as proof that it checked the token.
func TestOrdersAreFenced(t *testing.T) {
	checkGoroutines(t)
	checksFence, ignoresFence := newEngine(t, enginestand.Settings{}), newEngine(t, enginestand.Settings{IgnoresFence: true})
	f := newFleet(t, engine.Config{}, checksFence, ignoresFence)
	order := []byte(`{"kind":"load_model","model":"m2"}`)
	for _, name := range []string{"e1", "e2"} {
		must.NoError(t, f.SendOrder(t.Context(), name, engine.Fence{Epoch: 7, Serial: 2}, order))
	}
	err := f.SendOrder(t.Context(), "e1", engine.Fence{Epoch: 6, Serial: 900}, order)
	var stale *engine.StaleFenceError
	must.ErrorAs[*engine.StaleFenceError](t, err, &stale)
	must.Eq(t, engine.Fence{Epoch: 7, Serial: 2}, stale.Current)
	must.Eq(t, []string{string(order)}, checksFence.Orders())
	must.NoError(t, f.SendOrder(t.Context(), "e2", engine.Fence{Epoch: 6, Serial: 900}, order))
	must.Eq(t, 1, ignoresFence.Stats().StaleOrdersAccepted)
	must.ErrorIs(t, f.SendOrder(t.Context(), "e1", engine.Fence{}, []byte("{")), engine.ErrMalformed)
	must.Error(t, f.SendOrder(t.Context(), "e1", engine.Fence{Serial: 1 << 24}, order))
	must.ErrorIs(t, f.SendOrder(t.Context(), "nobody", engine.Fence{}, order), engine.ErrUnavailable)
}

// Guards against an old load report that looks current, and against a report that hides a restart of the
// engine.
func TestLoadReportAge(t *testing.T) {
	checkGoroutines(t)
	const lag = 200 * time.Millisecond
	e := newEngine(t, enginestand.Settings{Scale: 1, LoadLag: lag, DecodeBase: time.Hour, MaxRunning: 1})
	f := newFleet(t, engine.Config{}, e)
	for n := range uint64(2) {
		d := call(n+1, true, messages("q"))
		d.Timeout = 20 * time.Millisecond
		must.Eq(t, sched.ResultTimeout, f.Complete(t.Context(), d, nil).Result)
	}
	load, err := f.Load(t.Context(), "e1")
	must.NoError(t, err)
	must.Eq(t, sched.LoadReport{Endpoint: "e1", Age: lag, Generation: 1}, load.Report)
	eventually(t, "the report", func() bool {
		load, err = f.Load(t.Context(), "e1")
		return err == nil && load.Report.Running == 1 && load.Report.Waiting == 1
	})
	must.Eq(t, 1, load.MaxRunning)
	e.Restart()
	load, err = f.Load(t.Context(), "e1")
	must.NoError(t, err)
	must.Eq(t, 2, load.Report.Generation)
}

// Guards against control answers that are accepted although they are malformed or above the size limit.
func TestMalformedControlAnswers(t *testing.T) {
	checkGoroutines(t)
	body := ""
	f := newFleet(t, engine.Config{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
	for _, body = range []string{"", "{", `{"events":[{"kind":"moved"}]}`, `{"next":-1}`} {
		_, err := f.CacheEvents(t.Context(), "e1", 0)
		must.ErrorIs(t, err, engine.ErrMalformed)
	}
	body = long(2 << 20)
	_, err := f.Load(t.Context(), "e1")
	must.ErrorIs(t, err, engine.ErrUnavailable)
}
