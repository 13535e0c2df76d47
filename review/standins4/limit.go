package main

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["limited-server-drains"] = limitedServerDrains }

func sortTimes(times []time.Time) {
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
}

// limitedServerDrains: all servers of a service are in need and name a limit, so that requests wait for permits. One of the
// servers leaves: it reports draining, serves for drain_ms and a little longer, and ends.
func limitedServerDrains(r *rig, trouble bool) bool {
	const (
		limit   = 2                      // requests a second of each server
		allowed = 1.5*limit*4 + 5        // in span
		span    = 4 * time.Second        // of the rule
		work    = 520 * time.Millisecond // five times the mean of the sheet
		servers = 9
		drainAt = 16 * time.Second
		goneAt  = 19 * time.Second
		end     = 26 * time.Second
		// perSecond is the rate of these requests on the sheet: 0.4 for each turn of the programs.
		perSecond = 59
	)
	r.publish(newRoute("cobro", "non_idempotent", "orders", 3000, 1))
	for n := range servers {
		r.server("i-order"+strconv.Itoa(n), "orders", func(*server, received) behaviour {
			return behaviour{work: work, limit: strconv.Itoa(limit)}
		})
	}
	leaving := r.servers[0]
	r.start(3)
	time.Sleep(stableWindow)
	var stop atomic.Bool
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; !stop.Load(); n++ {
			wg.Go(func() { r.sendTwice(r.instances[n%3], r.instances[(n+1)%3]) })
			time.Sleep(time.Second / perSecond)
		}
	})
	r.at(drainAt)
	if trouble {
		leaving.leaving.Store(true)
		leaving.list("draining")
	}
	r.at(goneAt)
	if trouble {
		leaving.unlist()
		leaving.close()
	}
	r.at(end)
	stop.Store(true)
	wg.Wait()
	ok := true
	for _, s := range r.servers {
		most, at := mostWithin(s, r.began.Add(12*time.Second), span) // the first answers with the limit came in the first seconds
		r.note("server %s got %d requests within %s, from %d ms on; %.0f are allowed", s.id, most, span, at.Sub(r.began).Milliseconds(), float64(allowed))
		ok = ok && float64(most) <= allowed
	}
	return ok
}

// mostWithin returns the most requests that a server got within a span since a time, and when the span began.
func mostWithin(s *server, from time.Time, span time.Duration) (most int, at time.Time) {
	var runs []time.Time
	for _, q := range s.ran() {
		runs = append(runs, q.at)
	}
	sortTimes(runs)
	for n := range runs {
		if runs[n].Before(from) {
			continue
		}
		count := 0
		for _, other := range runs[n:] {
			if other.Sub(runs[n]) < span {
				count++
			}
		}
		if count > most {
			most, at = count, runs[n]
		}
	}
	return most, at
}

// sendTwice sends a request to an instance and, after a promise that it was not run, once more to another one.
func (r *rig) sendTwice(first, second *instance) {
	q := request{method: http.MethodPost, path: "/cobro/1", body: r.newID(), deadline: 3 * time.Second}
	a := r.send(first, q, nil)
	pause, err := strconv.ParseFloat(a.retry, 64)
	if a.status != http.StatusServiceUnavailable || err != nil || pause > (q.deadline-a.took).Seconds()/3 {
		return
	}
	time.Sleep(time.Duration(pause * float64(time.Second)))
	if q.deadline -= time.Since(a.sent); q.deadline > 0 {
		r.send(second, q, nil)
	}
}
