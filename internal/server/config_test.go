package server_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/publish"
	"ragwortstile/internal/server"
	"ragwortstile/internal/trial"
)

// inForceBound is the time within which a published manifest must be in force at all instances.
const inForceBound = 4 * time.Second

func publishAs(ctx context.Context, d *trial.Deployment, expected uint64, revision string) (uint64, error) {
	m := *d.Manifest
	m.Source = manifest.Source{Revision: revision}
	return publish.Publish(ctx, logservice.NewLogClient(d.LogURL(), http.DefaultClient), publish.Request{
		Expected: expected, Data: m.Canonical(), Digest: m.Digest(), Operator: revision,
	})
}

// Guards against lost or reverted manifest versions when two operators publish at once, with lost
// answers and late duplicates of appends: exactly one of each pair must succeed, the other must get a
// conflict, and no instance may ever return to an older version.
func TestPublishersRace(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, nil)
	ctx := waitContext(t)
	stop := make(chan struct{})
	var watchers, publishers sync.WaitGroup
	for _, i := range d.Running() {
		watchers.Go(func() {
			last := uint64(0)
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
				v := i.ManifestVersion()
				if v < last {
					t.Errorf("instance %s went back from version %d to %d", i.Session(), last, v)
					return
				}
				last = v
			}
		})
	}
	for version := uint64(1); version <= 5; version++ {
		d.Log.LoseAnswers(1)
		d.Log.DuplicateAppends(2, 100*time.Millisecond)
		results := make([]error, 2)
		for n := range results {
			publishers.Go(func() {
				_, results[n] = publishAs(ctx, d, version, fmt.Sprintf("r%d-%d", version, n))
			})
		}
		publishers.Wait()
		accepted := time.Now()
		won := 0
		for _, err := range results {
			var conflict *publish.ConflictError
			switch {
			case err == nil:
				won++
			case errors.As(err, &conflict):
				must.Eq(t, version+1, conflict.Current)
			default:
				t.Fatalf("version %d: %v", version+1, err)
			}
		}
		must.Eq(t, 1, won)
		await(t, "the version at all instances", func() bool { return allHave(d.Running(), version+1) })
		must.Less(t, inForceBound, time.Since(accepted))
	}
	close(stop)
	watchers.Wait()
}

func allHave(instances []*server.Instance, version uint64) bool {
	for _, i := range instances {
		if i.ManifestVersion() != version {
			return false
		}
	}
	return true
}

// Guards against an instance without the current manifest because it cannot read the log: it must get
// the manifest from its peers.
func TestManifestReachesInstancesDuringOutage(t *testing.T) {
	t.Parallel()
	d := cluster(t, 2, nil)
	ctx := waitContext(t)
	_, err := publishAs(ctx, d, 1, "r2")
	must.NoError(t, err)
	await(t, "version 2", func() bool { return allHave(d.Running(), 2) })
	d.Log.SetOutage(true)
	must.NoError(t, d.AddInstances(trial.InstanceSpec{Name: "c", Zone: "z2"}))
	start := time.Now()
	await(t, "version 2 at the new instance", func() bool { return d.Instance("c").ManifestVersion() == 2 })
	must.Less(t, inForceBound, time.Since(start))
	_, err = publishAs(ctx, d, 2, "r3")
	must.Error(t, err)
	must.True(t, allHave(d.Running(), 2))
	d.Log.SetOutage(false)
	_, err = publishAs(ctx, d, 2, "r3")
	must.NoError(t, err)
	accepted := time.Now()
	await(t, "version 3", func() bool { return allHave(d.Running(), 3) })
	must.Less(t, inForceBound, time.Since(accepted))
}
