package server_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/server"
	"ragwortstile/internal/trial"
)

// ownerOf returns the name of the instance that holds a program's slot.
func ownerOf(t *testing.T, d *trial.Deployment, p id.Program) string {
	t.Helper()
	slot, err := p.Slot()
	must.NoError(t, err)
	var owner string
	await(t, "a holder of the slot", func() bool {
		for _, i := range d.Running() {
			if slices.Contains(i.Slots(), slot) {
				owner = i.Session().Instance()
				return true
			}
		}
		return false
	})
	return owner
}

// otherThan returns a running instance with another name.
func otherThan(t *testing.T, d *trial.Deployment, name string) *server.Instance {
	t.Helper()
	for _, i := range d.Running() {
		if i.Session().Instance() != name {
			return i
		}
	}
	t.Fatal("no other instance runs")
	return nil
}

func base(i *server.Instance) string { return "http://" + i.HTTPAddr() }

// longCall returns a streamed call whose answer has an exact number of tokens, and its request body.
func longCall(p id.Program, key, say string, tokens int) (trial.ModelCall, []byte) {
	m := trial.ModelCall{Program: p, Key: key, Model: "m", Message: say, MaxTokens: int64(tokens), Stream: true}
	body := strings.TrimSuffix(string(m.Body()), "}") + fmt.Sprintf(`,"want_tokens":%d}`, tokens)
	return m, []byte(body)
}

// openStream sends a call to one instance and returns the response with its body unread.
func openStream(ctx context.Context, t *testing.T, at string, m trial.ModelCall, body []byte) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, at+m.Path(), bytes.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Idempotency-Key", m.Key)
	req.Header.Set("X-History", "append")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// readSome reads the first n bytes of a stream.
func readSome(t *testing.T, r io.Reader, n int) []byte {
	t.Helper()
	data := make([]byte, n)
	_, err := io.ReadFull(r, data)
	must.NoError(t, err)
	return data
}

func problemOf(t *testing.T, err error) *trial.Problem {
	t.Helper()
	var p *trial.Problem
	must.True(t, errors.As(err, &p), must.Sprintf("%v is no problem document", err))
	return p
}

func texts(t *testing.T, c *trial.Caller, ctx context.Context, p id.Program, branch string) []string {
	t.Helper()
	messages, err := c.History(ctx, p, branch)
	must.NoError(t, err)
	var out []string
	for _, m := range messages {
		out = append(out, string(m))
	}
	return out
}
