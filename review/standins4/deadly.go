package main

import (
	"net/http"
	"strconv"
	"time"
)

func init() { cases["deadly-request-after-kill"] = deadlyRequestAfterKill }

// deadlyRequestAfterKill: a request crashes each server that runs it and comes again, every 1.5 s at another machine. Its
// quarantine ends after a minute; some seconds later all processes are killed at the same moment.
func deadlyRequestAfterKill(r *rig, trouble bool) bool {
	const (
		deadly   = "deadly"
		between  = 1500 * time.Millisecond
		downtime = 3 * time.Second
		killAt   = 80 * time.Second
		end      = 100 * time.Second
		most     = 3 // retries that may reach servers later than stableWindow after the third crash
	)
	r.publish(newRoute("prensa", "non_idempotent", "orders", 2000, 1))
	for n := range 9 {
		r.server("i-order"+strconv.Itoa(n), "orders", func(_ *server, q received) behaviour {
			if q.body == deadly {
				return behaviour{work: 20 * time.Millisecond, crash: downtime}
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
	var runs []time.Time
	for _, s := range r.servers {
		for _, q := range s.ran() {
			if q.body == deadly {
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
	r.note("%d retries reached servers later than %s after the third crash; %d are allowed", late, stableWindow, most)
	return late <= most
}
