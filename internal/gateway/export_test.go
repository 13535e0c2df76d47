package gateway

import (
	"net/http"

	"ragwortstile/internal/team"
)

// ServeAs returns a handler of requests whose callers belong to a team.
func (g *Gateway) ServeAs(t *team.Team) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := g.newRequest(w, r)
		q.team = t
		q.serve()
	})
}
