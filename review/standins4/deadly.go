package main

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["deadly-request-after-kill"] = deadlyRequestAfterKill
	cases["deadly-request-after-a-minute"] = deadlyRequestAfterAMinute
}

const (
	deadly         = "deadly" // body of a request that crashes each server that runs it
	crashDowntime  = 3 * time.Second
	mostLateDeadly = 3 // retries that may reach servers later than stableWindow after the third crash
)

// deadlyRequestAfterKill: a request crashes each server that runs it and comes again, every 1.5 s at another machine. Its
// quarantine ends after a minute; some seconds later all processes are killed at the same moment.
func deadlyRequestAfterKill(r *rig, trouble bool) bool {
	const (
		between = 1500 * time.Millisecond
		killAt  = 80 * time.Second
		end     = 100 * time.Second
	)
	r.publish(newRoute("prensa", "non_idempotent", "orders", 2000, 1))
	for n := range 9 {
		r.server("i-order"+strconv.Itoa(n), "orders", func(_ *server, q received) behaviour {
			if q.body == deadly {
				return behaviour{work: 20 * time.Millisecond, crash: crashDowntime}
			}
			return behaviour{work: 30 * time.Millisecond}
		})
	}
	r.start(3)
	time.Sleep(stableWindow)
	killed := false
	for n := 0; time.Since(r.began) < end; n++ {
		if trouble && !killed && time.Since(r.began) > killAt {
			killed = true
			r.note("all processes are killed")
			r.killAll(time.Second)
			time.Sleep(stableWindow + time.Second)
			r.note("all machines are in touch again")
		}
		r.send(r.instances[n%3], request{method: http.MethodPost, path: "/prensa/1", body: deadly, deadline: 2 * time.Second}, nil)
		r.send(r.instances[(n+1)%3], request{method: http.MethodPost, path: "/prensa/1", body: "sound " + strconv.Itoa(n), deadline: 2 * time.Second}, nil)
		time.Sleep(between)
	}
	return r.fewLate()
}

// fewLate reports whether the request that crashed servers reached them in no more late retries than are allowed.
func (r *rig) fewLate() bool {
	var runs []time.Time
	for _, s := range r.servers {
		for _, q := range s.ran() {
			if q.crashed {
				runs = append(runs, q.at)
			}
		}
	}
	sortTimes(runs)
	late := 0
	for n, at := range runs {
		isLate := n >= 3 && at.Sub(runs[2]) > stableWindow
		if isLate {
			late++
		}
		r.note("the deadly request reached a server at %d ms, late: %t", at.Sub(r.began).Milliseconds(), isLate)
	}
	r.note("%d retries reached servers later than %s after the third crash; %d are allowed", late, stableWindow, mostLateDeadly)
	return late <= mostLateDeadly
}

// deadlyRequestAfterAMinute: one caller sends the request at every machine, about once a second at each. Without the disruption the
// request crashes nothing.
func deadlyRequestAfterAMinute(r *rig, trouble bool) bool {
	const (
		machines = 9
		end      = 80 * time.Second
	)
	r.publish(newRoute("prensa", "non_idempotent", "orders", 2000, 1))
	for n := range 9 {
		r.server("i-order"+strconv.Itoa(n), "orders", func(_ *server, q received) behaviour {
			if trouble && q.body == deadly {
				return behaviour{work: 300 * time.Millisecond, crash: crashDowntime}
			}
			return behaviour{work: 30 * time.Millisecond}
		})
	}
	r.start(machines)
	time.Sleep(stableWindow)
	var wg sync.WaitGroup
	var stop atomic.Bool
	for n, i := range r.instances {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 110 * time.Millisecond)
			for !stop.Load() {
				r.send(i, request{method: http.MethodPost, path: "/prensa/1", body: deadly, deadline: 2 * time.Second}, nil)
				time.Sleep(time.Second)
			}
		})
	}
	r.at(end)
	stop.Store(true)
	wg.Wait()
	return r.fewLate()
}
