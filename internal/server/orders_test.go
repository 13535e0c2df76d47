package server_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/trial"
)

// Guards against orders given by two controllers, orders sent before their intent is recorded, and
// fetches above the quota, also when the controller dies while it gives orders.
func TestEnginesReceiveOrders(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, func(s *trial.Settings) {
		for n := range s.Manifest.Endpoints {
			if e := &s.Manifest.Endpoints[n]; e.Pool == "m" {
				e.Engine = manifest.Engine{Model: "m", Version: "v1", Role: manifest.RoleMixed}
			}
		}
		s.Manifest.Orders = manifest.Orders{FetchInterval: time.Second, Timeout: 2 * time.Second}
	})
	d.Weights.Put(logservice.Weights{Model: "m", Version: "v1", Bytes: 1})
	has := func(engine string, parts ...string) bool {
		return slices.ContainsFunc(d.Engines[engine].Orders(), func(o string) bool {
			return !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(o, p) })
		})
	}
	ready := func(version string) bool {
		return has("e0", `"load"`, version) && has("e1", `"load"`, version)
	}
	await(t, "the first orders", func() bool { return ready("v1") && has("e0", `"role"`) && has("e1", `"role"`) })
	var controller string
	for _, i := range d.Running() {
		if slices.Contains(i.Slots(), 0) {
			controller = i.Session().Instance()
		}
	}
	d.Kill(controller)
	for n := range d.Manifest.Endpoints {
		if e := &d.Manifest.Endpoints[n]; e.Pool == "m" {
			e.Engine.Version = "v2"
		}
	}
	must.NoError(t, d.Publish(waitContext(t)))
	await(t, "the orders of the next controller", func() bool { return ready("v2") })
	for name, e := range d.Engines {
		must.Eq(t, 0, e.Stats().StaleOrdersRefused, must.Sprint(fmt.Sprintf("%s: %v", name, e.Orders())))
		must.Eq(t, 0, e.Stats().StaleOrdersAccepted)
	}
}
