package api

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
)

// KeyDigest returns the hex SHA-256 of a bearer key. The manifest lists keys in this form.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// keyIndex finds teams by the digests of their bearer keys. It rebuilds its table when the manifest
// changes.
type keyIndex struct {
	current atomic.Pointer[keyTable]
}

type keyTable struct {
	manifest *manifest.Manifest
	teams    map[string]*manifest.Team
}

func (x *keyIndex) team(m *manifest.Manifest, digest string) *manifest.Team {
	t := x.current.Load()
	if t == nil || t.manifest != m {
		t = newKeyTable(m)
		x.current.Store(t)
	}
	return t.teams[digest]
}

func newKeyTable(m *manifest.Manifest) *keyTable {
	t := &keyTable{manifest: m, teams: map[string]*manifest.Team{}}
	for i := range m.Teams {
		for _, d := range m.Teams[i].KeyDigests {
			t.teams[strings.ToLower(d)] = &m.Teams[i]
		}
	}
	return t
}

// caller is the authenticated sender of a request. The team is nil for the operator.
type caller struct {
	team     *manifest.Team
	manifest *manifest.Manifest
}

func (c caller) teamName() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

type handler func(w http.ResponseWriter, r *http.Request, c caller)

// handleTeam registers a handler for requests that are authenticated by a team's key. The
// operator's key is rejected.
func (f *Frontend) handleTeam(pattern string, h handler) {
	f.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		c, p := f.authenticate(r)
		if p == nil && c.team == nil {
			p = ptr(refusal(http.StatusForbidden, "operator_key", "this path needs the key of a tenant", "header Authorization"))
		}
		f.serve(w, r, c, p, h)
	})
}

// handleTeamOrOperator registers a handler for requests that are authenticated by a team's key or by
// the operator's key.
func (f *Frontend) handleTeamOrOperator(pattern string, h handler) {
	f.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		c, p := f.authenticate(r)
		f.serve(w, r, c, p, h)
	})
}

func (f *Frontend) serve(w http.ResponseWriter, r *http.Request, c caller, p *program.Problem, h handler) {
	if p != nil {
		if p.Status == http.StatusUnauthorized {
			w.Header().Set("WWW-Authenticate", "Bearer")
		}
		writeProblem(w, *p, 0)
		return
	}
	r.Body = http.MaxBytesReader(w, &deadlineBody{ReadCloser: r.Body, ctrl: http.NewResponseController(w)}, MaxBodyBytes)
	h(w, r, c)
}

func (f *Frontend) authenticate(r *http.Request) (caller, *program.Problem) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return caller{}, ptr(refusal(http.StatusUnauthorized, "no_key", "a bearer key is required", "header Authorization"))
	}
	digest := KeyDigest(strings.TrimSpace(key))
	m := f.backend.Manifest()
	if f.operatorDigest != "" && digest == f.operatorDigest {
		return caller{manifest: m}, nil
	}
	if m == nil {
		return caller{}, ptr(refusal(http.StatusServiceUnavailable, "no_manifest", "no manifest is in force yet", ""))
	}
	t := f.keys.team(m, digest)
	if t == nil {
		return caller{}, ptr(refusal(http.StatusUnauthorized, "unknown_key", "the key belongs to no tenant", "header Authorization"))
	}
	return caller{team: t, manifest: m}, nil
}

func ptr[T any](v T) *T { return &v }
