package server_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/logservice"
	"ragwortstile/internal/record"
	"ragwortstile/internal/trial"
)

// Guards against batches without a record time: the state machine would take every claim and program
// for old, and owners would write claims and snapshots again every second instead of after a third of
// the retention, which is one hour here.
func TestNothingIsRefreshedEarly(t *testing.T) {
	t.Parallel()
	start := time.Now()
	d := cluster(t, 2, nil)
	ctx := waitContext(t)
	c := caller(t, d)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	_, err = c.Model(ctx, trial.ModelCall{Program: prog, Key: "k", Model: "m", Message: "x", MaxTokens: 4})
	must.NoError(t, err)
	time.Sleep(5 * time.Second)
	client := logservice.NewLogClient(d.LogURL(), http.DefaultClient)
	snapshots, refreshes := 0, 0
	for from := uint64(0); ; {
		page, err := client.Read(ctx, "programs", from, 0)
		must.NoError(t, err)
		if len(page.Entries) == 0 {
			break
		}
		for _, e := range page.Entries {
			b, err := record.Decode(e.Data)
			must.NoError(t, err)
			must.Between(t, start.Add(-time.Second).UnixMilli(), b.At.UnixMilli(), time.Now().UnixMilli())
			for _, r := range b.Records {
				switch r.(type) {
				case record.Snapshot:
					snapshots++
				case record.ClaimRefresh:
					refreshes++
				}
			}
			from = e.Offset + 1
		}
	}
	must.Eq(t, 0, snapshots)
	must.LessEq(t, 2*id.Slots, refreshes) // a holder refreshes its claims when its lease begins, and again after a gap
}
