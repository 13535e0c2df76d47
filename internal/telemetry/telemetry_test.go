package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// Guards against changes of the field order and of the line format, on which log readers depend.
func TestLineFormat(t *testing.T) {
	var out bytes.Buffer
	log := NewEventLog(NewLogger(&out, logrus.InfoLevel))
	log.Debug("not_shown")
	log.Warn("slot_lost", Reason("lease_lapsed"), Epoch(7), Took(time.Second), Instance("a.1"),
		Call(id.Call{Branch: "main", Seq: 3}), Program("p01-x"))
	_, rest, _ := strings.Cut(out.String(), " ")
	must.Eq(t, "level=warning msg=slot_lost program=p01-x call=main/3 instance=a.1 epoch=7 reason=lease_lapsed took=1s\n", rest)
}

// Guards against text of a conversation in a log line, which could get there through identifiers that a caller
// chooses or through the text of an error.
func TestNoContentInTypedLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z]{8}`).Draw(t, "word")
		content := rapid.SampledFrom([]string{"Dear %s family", "{\"text\":\"%s\"}", "%s\nlevel=error", "¿%s?", "\x00%s"}).Draw(t, "form")
		content = fmt.Sprintf(content, word+"qzx")
		var out bytes.Buffer
		log := NewEventLog(NewLogger(&out, logrus.DebugLevel))
		parseErr := json.Unmarshal([]byte(content+"x"), new(map[string]int))
		log.Error(Event(content), Program(id.Program(content)), Call(id.Call{Branch: content}), Attempt(id.Attempt(content)),
			Instance(id.Session(content)), Reason(sched.Reason(content)), Team(content), Duty(content), Pool(content),
			Endpoint(content), Err(fmt.Errorf("turn: %w: %w", errors.New(content), parseErr)))
		log.Error("failed", Err(errors.New(content)), Err(nil))
		if strings.Contains(out.String(), word+"qzx") || strings.Count(out.String(), "\n") != 2 {
			t.Fatalf("content in line: %s", out.String())
		}
	})
}

// Guards against unknown fields and long texts in lines of code that calls logrus directly.
func TestFormatterDropsUnknownFields(t *testing.T) {
	var out bytes.Buffer
	NewLogger(&out, logrus.InfoLevel).WithFields(logrus.Fields{
		"prompt": "hello", "body": "hello", "reason": strings.Repeat("é", 1000),
	}).Info("line\nbreak")
	must.StrNotContains(t, out.String(), "hello")
	must.StrContains(t, out.String(), "dropped_fields=2")
	must.Less(t, 2*maxTextBytes, out.Len())
	must.Eq(t, 1, strings.Count(out.String(), "\n"))
}

// seriesOf returns the number of series and the text that WritePrometheus writes.
func seriesOf(m *Metrics) (int, string) {
	var out bytes.Buffer
	m.WritePrometheus(&out)
	return strings.Count(out.String(), "\n"), out.String()
}

// Guards against a number of series that grows with the numbers of teams, models, duties or reasons, also after
// many changes of the traffic and of the manifest. The numbers reach those expected in two years and beyond.
func TestSeriesAreBounded(t *testing.T) {
	m := NewMetrics()
	m.SetConfigSource(func() Config { return Config{Version: 4, Age: time.Minute} })
	m.SetPeerTrafficSource(func() PeerTraffic { return PeerTraffic{ControlIn: 1, ControlOut: 2, Payload: 3} })
	for round := range 6 {
		var pools []string
		var shares []PoolDuty
		for i := range 39 + 40*round {
			pools = append(pools, fmt.Sprintf("pool-%d-%d", round, i))
			for duty := range 20 {
				shares = append(shares, PoolDuty{Pool: pools[i], Duty: fmt.Sprintf("duty-%d", duty)})
			}
		}
		m.SetManifestNames(pools, shares)
		for team := range 2500 {
			for range 1 + (team+round*500)%2500/100 {
				c := m.ForTeam(fmt.Sprintf("tenant-%d", team))
				c.ProgramLatency(time.Second)
				c.FirstToken(time.Second)
				c.BetweenTokens(time.Millisecond)
				c.QueueWait(time.Millisecond)
			}
		}
		m.Reclassify()
		for _, p := range append(pools, "unknown") {
			m.CacheFilled(p, 10)
			m.CacheWasted(p, 3)
			m.Retried(p)
			m.OutcomeUnknown(p)
		}
		for _, s := range shares {
			m.SetShare(s, 0.5, 0.4)
		}
		for i := range 100 {
			m.Refused(fmt.Sprintf("reason_%d", i))
			m.ControlCPU(fmt.Sprintf("role_%d", i), time.Millisecond)
		}
		m.Appended(3, 400, true)
		m.Appended(3, 400, false)
		n, _ := seriesOf(m)
		must.LessEq(t, MaxSeries, n)
	}
	n, text := seriesOf(m)
	t.Logf("%d series of at most %d", n, MaxSeries)
	must.StrContains(t, text, `pool="other"`)
	must.StrContains(t, text, `reason="other"`)
	must.StrContains(t, text, "ragwortstile_config_version 4\n")
	must.StrContains(t, text, "ragwortstile_config_age_seconds 60\n")
	must.StrContains(t, text, "ragwortstile_control_bytes{direction=\"out\"} 2\n")
}

// Guards against classes that miss the teams with the most calls, or that change with small differences.
func TestClassesFollowTraffic(t *testing.T) {
	m := NewMetrics()
	use := func(team string, calls int) {
		for range calls {
			m.ForTeam(team).QueueWait(time.Millisecond)
		}
	}
	for i := range MaxClasses {
		use(fmt.Sprintf("big-%02d", i), 100)
	}
	use("small", 5)
	m.Reclassify()
	must.Eq(t, "big-00", m.classes.label("big-00"))
	must.Eq(t, OtherLabel, m.classes.label("small"))
	use("big-00", 1)
	use("small", 60) // 62 calls against 51, which is less than 3/2
	m.Reclassify()
	must.Eq(t, OtherLabel, m.classes.label("small"))
	use("small", 500)
	m.Reclassify()
	must.Eq(t, "small", m.classes.label("small"))
	_, text := seriesOf(m)
	must.StrNotContains(t, text, `class="big-19"`)
}

func BenchmarkBetweenTokens(b *testing.B) {
	c := NewMetrics().ForTeam("t")
	for b.Loop() {
		c.BetweenTokens(20 * time.Millisecond)
	}
}

func BenchmarkClass(b *testing.B) {
	m := NewMetrics()
	for b.Loop() {
		m.ForTeam("t")
	}
}
