package logstand_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/standin/logstand"
)

// do sends a request to the log and returns the recorded response.
func do(l *logstand.Log, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	l.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// Guards against a retention that keeps records for too long, deletes newer ones, or changes the offsets of
// those that remain.
func TestRetention(t *testing.T) {
	l := logstand.New(logstand.Settings{Scale: 10, Retention: 2 * time.Second})
	must.Eq(t, http.StatusOK, do(l, http.MethodPost, "/streams/a/records", "0").Code)
	time.Sleep(250 * time.Millisecond)
	w := do(l, http.MethodPost, "/streams/a/records", "1")
	must.Eq(t, `{"offset":1}`, w.Body.String())
	w = do(l, http.MethodGet, "/streams/a/records?from=0", "")
	must.Eq(t, http.StatusGone, w.Code)
	must.StrContains(t, w.Body.String(), `"earliest":1,"next":2`)
	must.Eq(t, http.StatusOK, do(l, http.MethodGet, "/streams/a/records?from=1", "").Code)
}

// Guards against a rate limit for each stream alone: the platform's limit covers the appends to all streams.
func TestRateLimitCoversAllStreams(t *testing.T) {
	l := logstand.New(logstand.Settings{Rate: 1})
	limited := 0
	for i := range 20 {
		stream := []string{"a", "b"}[i%2]
		if do(l, http.MethodPost, "/streams/"+stream+"/records", "x").Code == http.StatusTooManyRequests {
			limited++
		}
	}
	must.GreaterEq(t, 15, limited) // a burst of 1 and a rate of 1 per second
	must.Eq(t, limited, l.Stats().RateLimited)
}
