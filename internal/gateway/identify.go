package gateway

import (
	"net/http"
)

// identify finds the route of the request, the team of its caller and the time that it has.
func (q *request) identify() *rejection {
	age := q.g.view.routesAge() // before the configuration, see team.Freshness
	table := q.g.view.table.Load()
	if table == nil || !q.g.view.complete() {
		return unavailable(reasonNoConfig, minRetryAfter)
	}
	q.configVersion, q.limits = table.Version, table.Limits
	q.route = table.Match(q.r.Host, q.r.URL.EscapedPath())
	if q.route == nil {
		// A newer configuration that this instance has not read yet may contain the route, so 404 would be wrong.
		if age > q.g.maxRoutesAge() {
			return unavailable(reasonStaleConfig, minRetryAfter)
		}
		return &rejection{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	if rejected := q.identifyTeam(); rejected != nil {
		return rejected
	}
	if q.meta.ID == "" {
		return &rejection{status: http.StatusBadRequest, reason: reasonNoID}
	}
	timeout := q.meta.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.route.Timeout > 0 {
		timeout = min(timeout, q.route.Timeout)
	}
	q.deadline = q.start.Add(timeout)
	return nil
}
