package server_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/trial"
)

// Guards against a team that reads or changes another team's program by any path, including through
// an instance that is not the owner, and against an answer that reveals whether the program exists.
func TestOtherTeamIsRefusedEverywhere(t *testing.T) {
	t.Parallel()
	d := cluster(t, 2, nil)
	ctx := waitContext(t)
	c := caller(t, d)
	other := trial.NewCaller(otherKey, d.BaseURLs)
	t.Cleanup(other.Close)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	must.NoError(t, c.Branch(ctx, prog, "sub", "b"))
	_, err = c.Model(ctx, trial.ModelCall{Program: prog, Key: "k", Model: "m", Message: "x", MaxTokens: 4})
	must.NoError(t, err)
	unknown := string(prog)[:len(prog)-3] + "zzz" // the same slot
	chat := `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":4}`
	for _, at := range d.BaseURLs() {
		for _, r := range []struct{ method, path, body string }{
			{"GET", "", ""}, {"GET", "/history", ""}, {"GET", "/history?branch=sub", ""}, {"GET", "/explain", ""},
			{"GET", "/calls/k", ""}, {"GET", "/calls/k?from_byte=0", ""}, {"DELETE", "", ""},
			{"POST", "/calls/k/settle", `{"executed":"no"}`}, {"POST", "/branches", `{"name":"mine"}`},
			{"POST", "/chat/completions", chat}, {"POST", "/branches/sub/chat/completions", chat},
			{"POST", "/services/s/look", "{}"}, {"POST", "/branches/sub/services/s/look", "{}"},
		} {
			ask := func(p string) string {
				_, err := other.Once(ctx, at, r.method, "/v1/programs/"+p+r.path, "k", []byte(r.body), nil)
				return fmt.Sprint(err)
			}
			theirs := ask(string(prog))
			must.StrContains(t, theirs, "status 404", must.Sprintf("%s %s", r.method, r.path))
			must.Eq(t, ask(unknown), theirs, must.Sprintf("%s %s", r.method, r.path))
		}
	}
	must.Len(t, 2, texts(t, c, ctx, prog, ""))
	// An idempotency key that another team used opens a program of the caller's own team.
	own, err := other.Open(ctx, "work", "o")
	must.NoError(t, err)
	must.NotEq(t, prog, own)
}

// Guards against confused roles: an operator's key must not make calls, requests without a valid team
// or operator key must be refused, and the key of the peer protocol must not work as a caller's key.
func TestKeyRolesAreEnforced(t *testing.T) {
	t.Parallel()
	d := cluster(t, 1, nil)
	ctx := waitContext(t)
	at := d.BaseURLs()[0]
	status := func(key, method, path string) int {
		req, err := http.NewRequestWithContext(ctx, method, at+path, strings.NewReader("{}"))
		must.NoError(t, err)
		if key != "" {
			req.Header.Set("Authorization", "Bearer "+key)
		}
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	prog, err := caller(t, d).Open(ctx, "work", "o")
	must.NoError(t, err)
	path := "/v1/programs/" + string(prog)
	for _, p := range []string{path, path + "/history", "/v1/models"} {
		must.Eq(t, http.StatusForbidden, status(trial.OperatorKey, http.MethodGet, p))
	}
	must.Eq(t, http.StatusForbidden, status(trial.OperatorKey, http.MethodPost, "/v1/programs"))
	must.Eq(t, http.StatusForbidden, status(trial.OperatorKey, http.MethodDelete, path))
	for _, key := range []string{"", "wrong", trial.PeerKey, digestOf(teamKey), digestOf(trial.OperatorKey)} {
		for _, p := range []string{path, path + "/history", path + "/explain", path + "/calls/k", "/v1/status", "/v1/models"} {
			must.Eq(t, http.StatusUnauthorized, status(key, http.MethodGet, p))
		}
	}
	// Endpoints and shares are shown to operators only.
	team := caller(t, d)
	for _, i := range statusAt(t, team, at).Instances {
		for _, p := range i.Pools {
			must.Len(t, 0, p.Endpoints)
			must.Len(t, 0, p.Duties)
		}
	}
}

// Guards against a team that opens an unlimited number of programs: with a limit of 3 the fourth must
// be refused, a repeated key must not be, and an ended program must make room.
func TestOpenProgramsAreLimited(t *testing.T) {
	t.Parallel()
	d := cluster(t, 1, func(s *trial.Settings) {
		s.Manifest = smallManifest(t, 1, 1)
		s.Manifest.Teams[0].MaxPrograms = 3
	})
	ctx := waitContext(t)
	c := caller(t, d)
	at := d.BaseURLs()[0]
	open := func(key string) error {
		_, err := c.Once(ctx, at, http.MethodPost, "/v1/programs", key, []byte(`{"duty":"work"}`), nil)
		return err
	}
	prog, err := c.Open(ctx, "work", "o0")
	must.NoError(t, err)
	must.NoError(t, open("o1"))
	must.NoError(t, open("o2"))
	p := problemOf(t, open("o3"))
	must.Eq(t, "too_many_programs 429 no", fmt.Sprintf("%s %d %s", p.Code(), p.Status, p.Executed))
	must.NoError(t, open("o1"))
	other := trial.NewCaller(otherKey, d.BaseURLs)
	t.Cleanup(other.Close)
	_, err = other.Open(ctx, "work", "x")
	must.NoError(t, err)
	must.NoError(t, c.End(ctx, prog))
	await(t, "room for a program", func() bool { return open("o3") == nil })
}

// Guards against unauthenticated clients that hold connections indefinitely: a request header above
// the size limit must be refused, and a connection whose header is not complete in time must be
// closed.
func TestRequestHeadIsBounded(t *testing.T) {
	t.Parallel()
	d := cluster(t, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.BaseURLs()[0]+"/v1/status", nil)
	must.NoError(t, err)
	req.Header.Set("X-Large", strings.Repeat("x", 64<<10))
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	_ = resp.Body.Close()
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.BaseURLs()[0], "http://"))
	must.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("GET /v1/status HTTP/1.1\r\nHost: a\r\n"))
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second))) // headerTimeout is 10 s
	_, err = bufio.NewReader(conn).ReadString('\x00')
	must.ErrorContains(t, err, "EOF")
}
