package capacity

import (
	"runtime"
	"time"
)

// probe measures one kind of cost, in yUnit, at several loads, in xUnit.
type probe struct {
	name  string
	xUnit string
	yUnit string
	loads []int
	run   func(load int) float64
}

// measure runs the probe over all its loads, repeats times, and fits the results.
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

// heapOf returns the growth of live heap and stacks, in bytes, while the result of build is reachable.
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

// secondsOf returns the wall time of f in seconds. The timed probes use one goroutine, so it is close to
// the CPU time.
func secondsOf(f func()) float64 {
	start := time.Now()
	f()
	return time.Since(start).Seconds()
}
