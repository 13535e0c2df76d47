package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/admission"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/team"
	"ragwortstile/internal/wire"
)

// teamsGateway returns what the sharing among teams needs of a Gateway.
func teamsGateway(teams ...team.Team) *Gateway {
	g := &Gateway{view: &storeView{}, shares: newTeamShares(1), admission: newAdmissionQueues()}
	g.view.table.Store(&routing.Table{Config: routing.Config{Teams: teams}})
	return g
}

// Guards against queues that treat teams differently, and against messages about teams, in a deployment without teams.
func TestNoSharesWithoutTeams(t *testing.T) {
	g := teamsGateway()
	queue := &admission.Queue{}
	g.setShares(queue, "s")
	must.Nil(t, queue.Shares)
	teams, heard := g.reportTeams(time.Now())
	must.SliceEmpty(t, teams)
	must.Zero(t, heard)
	g.learnTeams("p", wire.LoadReport{Teams: []wire.TeamService{{Service: "s", Team: "a", Milli: 5}}, Heard: 9}, time.Now())
	must.Eq(t, 1, g.shares.fleet)

	g = teamsGateway(team.Team{Name: "a"})
	g.setShares(queue, "s")
	must.NotNil(t, queue.Shares)
	calls := &admission.Queue{Calls: true}
	g.setShares(calls, "s")
	must.Nil(t, calls.Shares)
	g.view.table.Store(&routing.Table{})
	g.setShares(queue, "s")
	must.Nil(t, queue.Shares) // the teams were removed
}

// Guards against an instance that hears some or none of the others and takes their load for nothing.
func TestPartOfTheLoadThatIsSeen(t *testing.T) {
	now := time.Now()
	s := newTeamShares(1)
	must.Eq(t, 1, s.part())
	s.notePeers(24, now)
	must.Eq(t, 1, s.part())
	s.noteFleet(100, now) // what an instance that is connected to all has stated
	must.Eq(t, 0.25, s.part())
	s.notePeers(0, now.Add(time.Second))
	must.Eq(t, 0.01, s.part())
	s.notePeers(24, now.Add(2*time.Second))
	s.notePeers(24, now.Add(2*fleetTTL)) // the others have ended
	must.Eq(t, 1, s.part())
	s.notePeers(0, now.Add(2*fleetTTL+aloneAfter))
	must.Eq(t, 1, s.part())
}
