package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a deployment whose first list is empty and that gets no lease until that list has
// expired, because no majority of an empty list is possible.
func TestEmptyFirstListBlocksNoLease(t *testing.T) {
	m := New(Config{Self: "a.1"})
	m.Step(0, ListAnswer{})
	m.Step(time.Second, ListAnswer{Instances: []Instance{{Name: "a"}}})
	m.StartRound(2*time.Second, 0, nil)
	must.Eq(t, 5*time.Second, m.Lease(2*time.Second).Until)
}
