package enginestand_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/standin"
	"ragwortstile/internal/standin/enginestand"
)

func start(t *testing.T, s enginestand.Settings) (*enginestand.Engine, string) {
	t.Helper()
	before := runtime.NumGoroutine()
	e := enginestand.New(s)
	server, err := standin.Listen("127.0.0.1:0", e)
	must.NoError(t, err)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		server.Close()
		e.Close()
		deadline := time.Now().Add(5 * time.Second)
		for runtime.NumGoroutine() > before && time.Now().Before(deadline) {
			time.Sleep(5 * time.Millisecond)
		}
		must.LessEq(t, before, runtime.NumGoroutine())
	})
	return e, server.URL
}

// ask makes one call and returns its duration.
func ask(t *testing.T, url string, n, tokens int, content string) time.Duration {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"want_tokens":%d}`, content, tokens)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("X-Request-Id", fmt.Sprintf("p/main/%d", n))
	req.Header.Set("X-Cache-Tag", "p/main")
	begin := time.Now()
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	return time.Since(begin)
}

// Guards against a stand-in without the effects that the scheduler's policy is about: a batch slows
// each of its calls, a full engine makes calls wait, and a warm prefix saves the prefill.
func TestEngineSpeeds(t *testing.T) {
	e, url := start(t, enginestand.Settings{MaxRunning: 4, DecodeBase: 4 * time.Millisecond, DecodePerCall: 8 * time.Millisecond, PrefillRate: 5000})
	alone := ask(t, url, 0, 10, "q")
	together := func(first, calls int) time.Duration {
		begin := time.Now()
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() { ask(t, url, first+i, 10, "q") })
		}
		wg.Wait()
		return time.Since(begin)
	}
	batch := together(100, 4)
	queued := together(200, 8)
	must.Greater(t, 3, batch.Seconds()/alone.Seconds())    // 28 ms per token to 4 ms, in theory 7
	must.Greater(t, 1.4, queued.Seconds()/batch.Seconds()) // two batches, in theory 2

	prompt := strings.Repeat("abcd", 2000)
	cold := ask(t, url, 1, 1, prompt)
	warm := ask(t, url, 2, 1, prompt)
	must.Greater(t, 3, cold.Seconds()/warm.Seconds()) // 400 ms of prefill and 4 ms of decoding
	must.Greater(t, 2000, e.Stats().CachedTokens)
}

// Guards against a time scale that changes more than the time.
func TestEngineTimeScale(t *testing.T) {
	_, slow := start(t, enginestand.Settings{DecodeBase: 20 * time.Millisecond})
	_, fast := start(t, enginestand.Settings{DecodeBase: 20 * time.Millisecond, Scale: 10})
	must.Greater(t, 3, ask(t, slow, 1, 10, "q").Seconds()/ask(t, fast, 1, 10, "q").Seconds())
}

// Guards against answers by which a test could not tell two histories apart.
func TestAnswerTellsHistories(t *testing.T) {
	one := []json.RawMessage{json.RawMessage(`{"role":"user","content":"a"}`)}
	spaced := []json.RawMessage{json.RawMessage(`{"role": "user", "content": "a"}`)}
	other := []json.RawMessage{json.RawMessage(`{"role":"user","content":"b"}`)}
	must.Eq(t, enginestand.Answer(one, 3), enginestand.Answer(spaced, 3))
	must.NotEq(t, enginestand.Answer(one, 3), enginestand.Answer(other, 3))
	must.NotEq(t, enginestand.Answer(one, 3), enginestand.Answer(append(one, other...), 3))
}
