package bench

import (
	"fmt"
	"testing"

	"ragwortstile/internal/sched"
)

func TestDebug(t *testing.T) {
	for _, d := range deployments()[:1] {
		sc := scenarios()[4]
		trace := newGenerator(d, 1).trace(1*capacity(d), d.length)
		s := newSim(d, sc, policyOurs, sched.Options{}, 1)
		s.run(trace, d.length*2)
		for st := 600; st < 1770; st += 30 {
			tot := 0.0
			for _, n := range s.meter.duties {
				tot += sum(s.meter.work[n][st : st+30])
			}
			fmt.Print(st, " total ", int(tot))
			for _, n := range s.meter.duties {
				dem := 0
				for _, b := range s.meter.demand[n][st : st+30] {
					if b {
						dem++
					}
				}
				fmt.Printf("  %s %.2f (owed %.2f, demand %d)", n, sum(s.meter.work[n][st:st+30])/tot, s.meter.shares[n], dem)
			}
			fmt.Println()
		}
	}
}
