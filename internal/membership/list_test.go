package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a deployment that starts with an empty list and gets no lease before the list has
// been forgotten.
func TestEmptyFirstListBlocksNoLease(t *testing.T) {
	m := New(Config{Self: "a.1"})
	m.Step(0, ListAnswer{})
	m.Step(time.Second, ListAnswer{Instances: []Instance{{Name: "a"}}})
	m.StartRound(2*time.Second, 0, nil)
	must.Eq(t, 5*time.Second, m.Lease(2*time.Second).Until)
}
