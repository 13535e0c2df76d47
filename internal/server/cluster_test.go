package server_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/manifest"
	"ragwortstile/internal/trial"
)

// testWait bounds each wait for a condition, far above the time that the conditions take.
const testWait = 40 * time.Second

const (
	teamKey  = "tenant-key-one"
	otherKey = "tenant-key-two"
)

// smallManifest returns a manifest with one model and one service, with the given numbers of
// endpoints.
func smallManifest(t *testing.T, engines, services int) *manifest.Manifest {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, `
deployment: test
source: {revision: r1}
weights: {program_latency: 0.5, wasted_cache: 0.5}
tenants:
  - {name: one, key_digests: [%s], default_duty: work}
  - {name: two, key_digests: [%s], default_duty: work}
duties:
  - {name: work, tenants: [one, two], share: 0.5, limits: {tokens: 100000, calls: 200, charge_cents: 100000, wall_time: 10m}, pools: [m, s]}
  - {name: tight, tenants: [one], share: 0.1, limits: {tokens: 400, calls: 6, charge_cents: 1000}, pools: [m, s]}
  - {name: free, tenants: [one], share: 0.1, limits: {calls: 100}, pools: [m]}
pools:
  - {name: m, kind: model, queue_limit: 200, max_tokens: 200, timeout: 30s}
  - {name: s, kind: service, queue_limit: 200, timeout: 10s}
services:
  - pool: s
    operations:
      - {name: look, idempotent: true}
      - {name: charge, idempotent: false, can_be_asked: true, charge_cents: 400}
      - {name: press, idempotent: false}
endpoints:
`, digestOf(teamKey), digestOf(otherKey))
	for n := range engines {
		fmt.Fprintf(&b, "  - {name: e%d, pool: m, url: \"http://127.0.0.1:%d\", zone: z%d, max_in_flight: 8, cache_tokens: 100000}\n", n, n+1, n)
	}
	for n := range services {
		fmt.Fprintf(&b, "  - {name: s%d, pool: s, url: \"http://127.0.0.1:%d\", zone: z%d, max_in_flight: 8}\n", n, 1000+n, n)
	}
	m, err := manifest.Parse([]byte(b.String()))
	must.NoError(t, err)
	return m
}

func digestOf(key string) string { return manifest.KeyDigest(key) }

// cluster starts a deployment with instances a, b, c, ... in zones z0, z1, ... and waits until it is
// ready.
func cluster(t *testing.T, instances int, change func(*trial.Settings)) *trial.Deployment {
	t.Helper()
	s := trial.Settings{Manifest: smallManifest(t, 2, 2)}
	if change != nil {
		change(&s)
	}
	d, err := trial.Start(s)
	must.NoError(t, err)
	t.Cleanup(d.Close)
	ctx := waitContext(t)
	must.NoError(t, d.Publish(ctx))
	var specs []trial.InstanceSpec
	for n := range instances {
		specs = append(specs, trial.InstanceSpec{Name: string(rune('a' + n)), Zone: fmt.Sprintf("z%d", n)})
	}
	must.NoError(t, d.AddInstances(specs...))
	must.NoError(t, d.AwaitReady(ctx))
	return d
}

func waitContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	t.Cleanup(cancel)
	return ctx
}

// await waits for a condition. The optional functions describe what was seen instead.
func await(t *testing.T, what string, ok func() bool, seen ...func() string) {
	t.Helper()
	deadline := time.Now().Add(testWait)
	for !ok() {
		if time.Now().After(deadline) {
			for _, f := range seen {
				t.Log(f())
			}
			t.Fatalf("timeout waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func caller(t *testing.T, d *trial.Deployment) *trial.Caller {
	t.Helper()
	c := trial.NewCaller(teamKey, d.BaseURLs)
	t.Cleanup(c.Close)
	return c
}

// Guards against a fault anywhere on the path of a call: API, forwarding, owner, dispatcher, engine,
// service, log and back, with and without streaming.
func TestWholePath(t *testing.T) {
	t.Parallel()
	d := cluster(t, 2, func(s *trial.Settings) { s.Manifest = smallManifest(t, 1, 1) })
	ctx := waitContext(t)
	c := caller(t, d)
	prog, err := c.Open(ctx, "work", "open-1")
	must.NoError(t, err)
	again, err := c.Open(ctx, "work", "open-1") // at the other instance
	must.NoError(t, err)
	must.Eq(t, prog, again)
	whole, err := c.Model(ctx, trial.ModelCall{Program: prog, Key: "k1", Model: "m", Message: "one", MaxTokens: 20})
	must.NoError(t, err)
	must.StrContains(t, string(whole.Body), `"choices"`)
	streamed, err := c.Model(ctx, trial.ModelCall{Program: prog, Key: "k2", Model: "m", Message: "two", MaxTokens: 20, Stream: true})
	must.NoError(t, err)
	must.StrHasSuffix(t, "data: [DONE]\n\n", string(streamed.Body))
	repeated, err := c.Model(ctx, trial.ModelCall{Program: prog, Key: "k2", Model: "m", Message: "two", MaxTokens: 20, Stream: true})
	must.NoError(t, err)
	must.Eq(t, string(streamed.Body), string(repeated.Body))
	charged, err := c.Service(ctx, prog, "", "k3", "s", "charge", []byte(`{"effect":"x1"}`))
	must.NoError(t, err)
	must.Eq(t, 200, charged.Status)
	history, err := c.History(ctx, prog, "")
	must.NoError(t, err)
	must.Len(t, 4, history)
	must.Eq(t, 2, d.Engines["e0"].Stats().Requests)
	must.Eq(t, 1, d.Executions("x1"))
	must.NoError(t, c.End(ctx, prog))
	await(t, "the cache at the engine to be released", func() bool { return len(d.Engines["e0"].TokensByTag()) == 0 })
}
