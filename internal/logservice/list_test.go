package logservice_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/standin/liststand"
	"ragwortstile/internal/standin/weightstand"
)

// Guards against an old list that is taken for a fresh one: its age must grow while polls fail, and a
// change must not be visible before the lag of the platform has passed.
func TestListLagAndAge(t *testing.T) {
	checkGoroutines(t)
	l := liststand.New(1, 0)
	base, client := serve(t, l)
	l.PutInstance(logservice.Instance{Name: "i1", Zone: "z1", PeerAddr: "127.0.0.1:1", HTTPAddr: "127.0.0.1:2", State: logservice.StateLive})
	l.PutEndpoint(logservice.Endpoint{Name: "e1", Zone: "z2", URL: "http://127.0.0.1:3", State: logservice.StateLive})
	c := logservice.NewListClient(logservice.ListConfig{BaseURL: base, Client: client, Interval: 10 * time.Millisecond})
	_, _, ok := c.Latest()
	must.False(t, ok)
	run(t, c.Serve)
	eventually(t, "a list", func() bool { _, _, ok := c.Latest(); return ok })
	list, _, _ := c.Latest()
	must.Eq(t, "127.0.0.1:1", list.Instances[0].PeerAddr)

	const lag = 300 * time.Millisecond
	l.SetLag(lag)
	start := time.Now()
	l.SetState("e1", logservice.StateLeaving)
	eventually(t, "the change", func() bool {
		list, _, _ := c.Latest()
		return list.Endpoints[0].State == logservice.StateLeaving
	})
	must.GreaterEq(t, lag, time.Since(start))

	l.SetOutage(true)
	eventually(t, "an old list", func() bool { _, age, _ := c.Latest(); return age > 100*time.Millisecond })
	l.SetOutage(false)
	eventually(t, "a fresh list", func() bool { _, age, _ := c.Latest(); return age < 100*time.Millisecond })
}

// Guards against a faulty list that is accepted in part.
func TestListRejectsFaultyResponses(t *testing.T) {
	checkGoroutines(t)
	for _, body := range []string{
		`{"instances":[{"name":"a","state":"gone"}]}`,
		`{"instances":[{"name":"","state":"live"}]}`,
		`{"endpoints":[{"name":"a","state":"live"},{"name":"a","state":"leaving"}]}`,
		`{"endpoints":[{"name":"a","state":"live"}`,
	} {
		base, client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		_, err := logservice.NewListClient(logservice.ListConfig{BaseURL: base, Client: client}).Fetch(context.Background())
		must.ErrorIs(t, err, logservice.ErrMalformed)
	}
}

// Guards against retries of the client that use up the quota: a rate-limited fetch must return its delay to
// the caller.
func TestWeightStoreRateLimit(t *testing.T) {
	checkGoroutines(t)
	ctx := context.Background()
	s := weightstand.New(1, time.Hour, 1)
	s.Put(logservice.Weights{Model: "m", Version: "v2", Bytes: 7})
	base, client := serve(t, s)
	c := logservice.NewWeightClient(base, client)
	w, err := c.Fetch(ctx, "m")
	must.NoError(t, err)
	must.Eq(t, "v2", w.Version)
	_, err = c.Fetch(ctx, "m")
	var limited *logservice.RateLimitedError
	must.ErrorAs[*logservice.RateLimitedError](t, err, &limited)
	must.Eq(t, time.Minute, limited.RetryAfter) // the upper bound of RetryAfter
	must.Eq(t, 1, s.Fetches("m"))
	_, err = c.Fetch(ctx, "other")
	must.ErrorIs(t, err, logservice.ErrNotFound)
	s.SetOutage(true)
	_, err = c.Fetch(ctx, "m")
	must.ErrorIs(t, err, logservice.ErrOutage)
}
