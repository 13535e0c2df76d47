package server_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/manifest"
	"ragwortstile/internal/standin/servicestand"
	"ragwortstile/internal/telemetry"
	"ragwortstile/internal/trial"
)

// instanceSeries is the number of series per instance besides those of package telemetry.
const instanceSeries = 8

// targetManifest returns a manifest with the given numbers of teams and models, as at the target
// scale.
func targetManifest(t *testing.T, teams, models int) *manifest.Manifest {
	t.Helper()
	var b strings.Builder
	b.WriteString("deployment: test\nsource: {revision: r1}\nweights: {program_latency: 0.5, wasted_cache: 0.5}\ntenants:\n")
	var names, pools []string
	for n := range teams {
		fmt.Fprintf(&b, "  - {name: t%d, key_digests: [%s], default_duty: work}\n", n, digestOf(fmt.Sprintf("key-of-t%d", n)))
		names = append(names, fmt.Sprintf("t%d", n))
	}
	for n := range models {
		pools = append(pools, fmt.Sprintf("m%d", n))
	}
	fmt.Fprintf(&b, "duties:\n  - {name: work, tenants: [%s], share: 0.5, limits: {tokens: 100000, calls: 200}, pools: [%s]}\npools:\n",
		strings.Join(names, ", "), strings.Join(pools, ", "))
	for n := range models {
		fmt.Fprintf(&b, "  - {name: m%d, kind: model, queue_limit: 200, max_tokens: 200, timeout: 30s}\n", n)
	}
	b.WriteString("endpoints:\n")
	for n := range models {
		fmt.Fprintf(&b, "  - {name: e%d, pool: m%d, url: \"http://127.0.0.1:%d\", zone: z0, max_in_flight: 8, cache_tokens: 100000}\n", n, n, n+1)
	}
	m, err := manifest.Parse([]byte(b.String()))
	must.NoError(t, err)
	return m
}

func metricsOf(t *testing.T, base string) string {
	t.Helper()
	resp, err := http.Get(base + "/metrics")
	must.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return string(text)
}

// Guards against a number of metric series that grows with teams or models: each of 2,500 teams makes
// calls, distributed over 39 models.
func TestSeriesBoundedAtTargetScale(t *testing.T) {
	const teams, models, callers = 2500, 39, 50
	d := cluster(t, 1, func(s *trial.Settings) { s.Manifest = targetManifest(t, teams, models) })
	ctx := waitContext(t)
	at := d.BaseURLs()[0]
	call := func(n int) {
		c := trial.NewCaller(fmt.Sprintf("key-of-t%d", n), d.BaseURLs)
		defer c.Close()
		body := fmt.Appendf(nil, `{"model":"m%d","messages":[{"role":"user","content":"x"}],"max_tokens":3,"stream":true}`, n%models)
		if _, err := c.Once(ctx, at, http.MethodPost, "/v1/chat/completions", "", body, nil); err != nil {
			t.Errorf("team %d: %v", n, err)
		}
	}
	round := func() {
		var wg sync.WaitGroup
		for first := range callers {
			wg.Go(func() {
				for n := first; n < teams; n += callers {
					call(n)
				}
			})
		}
		wg.Wait()
	}
	round()
	var text string
	await(t, "teams with histograms of their own", func() bool {
		call(0)
		return strings.Contains(metricsOf(t, at), `class="t0"`)
	})
	round()
	await(t, "the CPU and cache usage metrics", func() bool {
		text = metricsOf(t, at)
		return strings.Contains(text, "ragwortstile_control_cpu_seconds_total") && strings.Contains(text, "ragwortstile_cache_filled_tokens_total")
	})
	series := strings.Count(text, "\n")
	t.Logf("%d series of at most %d", series, telemetry.MaxSeries+instanceSeries)
	must.LessEq(t, telemetry.MaxSeries+instanceSeries, series)
	waits, total := regexp.MustCompile(`ragwortstile_queue_wait_seconds_count\{class="[a-z0-9]+"\} (\d+)`).FindAllStringSubmatch(text, -1), 0
	for _, w := range waits {
		n, err := strconv.Atoi(w[1])
		must.NoError(t, err)
		total += n
	}
	must.GreaterEq(t, 2*teams, total)
	must.Len(t, telemetry.MaxClasses+1, waits)
	for _, name := range []string{"ragwortstile_program_latency_seconds_count", "ragwortstile_first_token_seconds_count",
		"ragwortstile_between_tokens_seconds_count", "ragwortstile_appends_total", "ragwortstile_append_bytes_total",
		"ragwortstile_config_version 1", "ragwortstile_config_age_seconds", `ragwortstile_control_bytes{direction="out"}`,
		`ragwortstile_control_cpu_seconds_total{role="core_loop"}`} {
		must.StrContains(t, text, name)
	}
}

// lockedBuffer is a log output for concurrent writers.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

var logLine = regexp.MustCompile(`^time="?\S+ level=[a-z]+ msg=("[^"]*"|\S+)( [a-z_]+=("([^"\\]|\\.)*"|\S*))*$`)

// Guards against text of a conversation in the log at its most detailed level, through refusals,
// failing endpoints, an unknown outcome, a log outage and the death of an owner.
func TestNoContentInLog(t *testing.T) {
	t.Parallel()
	const secret = "Winterthurzqx"
	var out lockedBuffer
	d := cluster(t, 3, func(s *trial.Settings) {
		s.Logger = telemetry.NewLogger(&out, logrus.DebugLevel)
		s.Service = func(string) servicestand.Settings { return servicestand.Settings{} }
	})
	ctx := waitContext(t)
	c := caller(t, d)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	say := "Dear " + secret + " family"
	path := "/v1/programs/" + string(prog)
	call := func(key string) {
		_, err := c.Model(ctx, trial.ModelCall{Program: prog, Key: key, Model: "m", Message: say, MaxTokens: 8, Stream: true})
		must.NoError(t, err)
	}
	call("k1")
	_, err = c.Service(ctx, prog, "", "s1", "s", "look", []byte(`{"note":"`+say+`"}`))
	must.NoError(t, err)
	d.Engines["e0"].BreakNext(1, 40)
	d.Engines["e1"].BreakNext(1, 40)
	call("k2")
	// Refusals, whose errors may quote the refused input.
	for _, r := range []struct{ path, body string }{
		{path + "/chat/completions", `{"model":"m","messages":[{"role":"user","content":"` + say + `"}]}`},
		{path + "/chat/completions", `{"model":"` + say + `"}`},
		{path + "/chat/completions", `{"` + say},
		{path + "/services/s/" + secret + "%20x", `{}`},
		{"/v1/programs/" + secret, `{}`},
	} {
		_, err := c.Once(ctx, d.BaseURLs()[0], http.MethodPost, r.path, "", []byte(r.body), nil)
		must.Error(t, err)
	}
	for _, s := range d.Services {
		s.HangAfterExecution(1)
	}
	_, err = c.Once(ctx, d.BaseURLs()[0], http.MethodPost, path+"/services/s/press", "p1", []byte(`{"effect":"`+say+`"}`),
		http.Header{"X-Time-Limit": {"1s"}})
	must.Error(t, err)
	await(t, "the unknown outcome in the log", func() bool { return strings.Contains(out.String(), "msg=outcome_unknown") })
	must.NoError(t, c.Settle(ctx, prog, "p1", "no"))
	d.Log.SetOutage(true)
	time.Sleep(300 * time.Millisecond)
	d.Log.SetOutage(false)
	d.Kill(ownerOf(t, d, prog))
	call("k3")
	messages := texts(t, c, ctx, prog, "")
	must.Len(t, 6, messages)
	log := out.String()
	must.StrNotContains(t, log, secret)
	for _, m := range messages {
		must.StrNotContains(t, log, m)
	}
	for _, line := range strings.Split(strings.TrimSpace(log), "\n") {
		must.RegexMatch(t, logLine, line)
		must.StrContains(t, line, " instance=")
		must.StrNotContains(t, line, "dropped_fields")
	}
	must.StrContains(t, log, "msg=turn program="+string(prog)+" call=main/1 instance=")
}
