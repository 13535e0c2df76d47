package capacity

import (
	"runtime"
	"time"
)

// probe measures one cost at several loads.
type probe struct {
	name  string
	xUnit string
	yUnit string
	loads []int
	run   func(load int) float64
}

// measure runs a probe several times over its loads.
func (p probe) measure(repeats int) Slope {
	var all [][]Point
	for range repeats {
		var points []Point
		for _, load := range p.loads {
			points = append(points, Point{X: float64(load), Y: p.run(load)})
		}
		all = append(all, points)
	}
	return newSlope(p, all)
}

// heapOf returns the bytes of live heap that build leaves reachable through its result.
func heapOf(build func() any) float64 {
	before := liveHeap()
	v := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// secondsOf returns the wall time of f. The probes use one goroutine, so it is close to the
// processor time.
func secondsOf(f func()) float64 {
	start := time.Now()
	f()
	return time.Since(start).Seconds()
}
