package capacity

import (
	"fmt"
	"strings"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

// sizedManifest returns a manifest with the given numbers of teams and endpoints. It would not pass
// Check, but the probes only measure its size and the time to decode it.
func sizedManifest(teams, endpoints int) *manifest.Manifest {
	m := &manifest.Manifest{Deployment: "probe", Duties: []manifest.Duty{{Name: "drafting"}}}
	for i := range teams {
		m.Teams = append(m.Teams, manifest.Team{
			Name: fmt.Sprintf("tenant-%04d", i), DefaultDuty: "drafting",
			KeyDigests: []string{strings.Repeat("0f", 32)},
		})
	}
	for i := range endpoints {
		m.Endpoints = append(m.Endpoints, manifest.Endpoint{
			Name: endpointName(i), Pool: "model-01", URL: "http://192.0.2.1:8000", Zone: "zone-a",
			MaxInFlight: 32, CacheTokens: 2_000_000, CanExport: true,
		})
	}
	return m
}

func configProbes() []probe {
	return []probe{
		{
			name: "manifest: bytes per tenant", xUnit: "tenant", yUnit: "B", loads: []int{100, 1000, 2500},
			run: func(n int) float64 { return float64(len(sizedManifest(n, 1).Canonical())) },
		},
		{
			name: "manifest: bytes per endpoint", xUnit: "endpoint", yUnit: "B", loads: []int{9, 90, 740},
			run: func(n int) float64 { return float64(len(sizedManifest(1, n).Canonical())) },
		},
		{
			name: "manifest: time to read", xUnit: "tenant", yUnit: "us", loads: []int{100, 1000, 2500},
			run: func(n int) float64 {
				data := sizedManifest(n, 1).Canonical()
				return secondsOf(func() {
					if _, err := manifest.Decode(data); err != nil {
						panic(err)
					}
				}) * 1e6
			},
		},
	}
}

// streamProbe measures the time that the owner spends on each piece of a streamed answer. The time is
// spent for every generated token; the bytes of a piece are only payload.
func streamProbe() probe {
	return probe{
		name: "owner: time of a piece of a streamed answer", xUnit: "piece", yUnit: "us",
		loads: []int{1000, 4000, 16000},
		run: func(n int) float64 {
			h := newOwnerHarness()
			h.holdEngine = true
			h.open(0)
			h.req++
			h.step(program.ModelCall{
				Req: h.req, Team: "tenant", Program: programID(0), Branch: id.MainBranch, Key: "key",
				Model: "model", MaxTokens: 100, Stream: true, History: program.HistoryAppend,
				Messages: []record.Message{{Raw: []byte(`{"role":"user","content":"q"}`)}},
			})
			piece := []byte(strings.Repeat("d", 120))
			return secondsOf(func() {
				for i := range n {
					h.step(program.Progress{Attempt: h.running, Offset: int64(i * len(piece)), Data: piece})
				}
			}) * 1e6
		},
	}
}

// finishedOK returns the event of a short model call that succeeded.
func finishedOK(a id.Attempt) program.Finished {
	answer := []byte(`{"role":"assistant","content":"ok"}`)
	return program.Finished{
		Attempt: a, Result: sched.ResultOK, Status: 200, Sent: true, Body: answer, Answer: answer,
		PromptTokens: 200, OutputTokens: 20, Total: time.Second,
	}
}
