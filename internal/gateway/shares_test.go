package gateway

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/admission"
	"ragwortstile/internal/balance"
	"ragwortstile/internal/peer"
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

// gatewayWithTeams returns a Gateway with an endpoint of 20 slots and the teams a and b.
func gatewayWithTeams(t *testing.T) (*Gateway, *bytes.Buffer) {
	t.Helper()
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	g, err := New(Settings{Instance: "i", PeerKey: bytes.Repeat([]byte("k"), 32), StoreParts: 1}, nil, Topics{}, nil, log, "n")
	must.NoError(t, err)
	g.view.table.Store(&routing.Table{Config: routing.Config{Teams: []team.Team{{Name: "a"}, {Name: "b"}}}})
	g.view.endpoints.Store(&map[string][]balance.Endpoint{"s": {{ID: "e", Addr: "e", Slots: 20}}})
	return g, &lines
}

func (g *Gateway) testRequest(name string) *request {
	return &request{
		g: g, team: &team.Team{Name: name}, route: &routing.Route{TargetLatency: time.Second}, log: g.log,
		start: time.Now(), deadline: time.Now().Add(3 * time.Second),
	}
}

// Load: team a surges at peers, while this instance serves both. Guards against first turns that are not charged to their
// team, reports that leave it out, and a refusal without its inputs or of the wrong team.
func TestTurnsAreChargedToTheirTeam(t *testing.T) {
	g, lines := gatewayWithTeams(t)
	var slots []*slot
	for _, name := range []string{"a", "a", "b"} {
		slot, rejected := g.testRequest(name).admitTurn(context.Background(), "s", false, nil)
		must.Nil(t, rejected)
		slots = append(slots, slot)
	}
	for range 12 { // what is usual for the teams
		time.Sleep(25 * time.Millisecond)
		must.Nil(t, g.testRequest("a").checkRoom("s"))
	}
	g.mu.Lock()
	teams, heard := g.reportTeams(time.Now())
	g.mu.Unlock()
	must.Len(t, 2, teams)
	must.Eq(t, []string{"a", "b"}, []string{teams[0].Team, teams[1].Team})
	must.Greater(t, teams[1].Milli, teams[0].Milli)
	must.Eq(t, 1, heard)

	(*peerHandler)(g).Receive(peer.Remote{Session: "p.1"}, wire.LoadReport{
		Endpoints: []wire.EndpointLoad{{ID: "e", Running: 13}}, Teams: []wire.TeamService{{Service: "s", Team: "a", Milli: 30000, Wanted: 30000}}, Heard: 1,
	})
	time.Sleep(25 * time.Millisecond)
	must.NotNil(t, g.testRequest("a").checkRoom("s"))
	must.Nil(t, g.testRequest("b").checkRoom("s"))
	_, rejected := g.testRequest("a").admitTurn(context.Background(), "s", false, nil)
	must.NotNil(t, rejected)
	must.Eq(t, reasonOverShare, rejected.reason)
	must.Eq(t, http.StatusServiceUnavailable, rejected.status)
	must.Between(t, time.Millisecond, rejected.retryAfter, time.Second)
	for _, field := range []string{"team=a", "attained=", "share=", "counter=", "retry="} {
		must.StrContains(t, lines.String(), field)
	}
	begun, rejected := g.testRequest("a").admitTurn(context.Background(), "s", true, nil)
	must.Nil(t, rejected) // the program has begun
	for _, slot := range append(slots, begun) {
		slot.tokens = func() int64 { return 7 }
		slot.release()
		slot.release()
	}
	var series bytes.Buffer
	g.metrics.set.WritePrometheus(&series)
	must.StrContains(t, series.String(), `ragwortstile_team_first_turns_total{team="a",decision="over_share"} 2`)
	must.StrContains(t, series.String(), `ragwortstile_team_first_turns_total{team="b",decision="sent"} 1`)
	series.Reset()
	g.writeShares(&series)
	must.StrContains(t, series.String(), `ragwortstile_share_level_slots{service="s"}`)
	must.StrContains(t, series.String(), `ragwortstile_team_slots{service="s",team="b"}`)
}
