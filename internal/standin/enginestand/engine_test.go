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

// start returns an engine with the URL of its server. When the test ends, it stops both and checks that no goroutine
// is left.
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

// complete sends a completion request, reads the response and returns the duration.
func complete(t *testing.T, url string, n, tokens int, content string) time.Duration {
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

// Guards against a stand-in that does not simulate the effects on which the scheduler's decisions depend: calls in
// a larger batch are slower, calls beyond the size of the batch wait, and a cached prefix saves the prefill.
func TestBatchQueueAndPrefillTime(t *testing.T) {
	e, url := start(t, enginestand.Settings{MaxRunning: 4, DecodeBase: 4 * time.Millisecond, DecodePerCall: 8 * time.Millisecond, PrefillRate: 5000})
	alone := complete(t, url, 0, 10, "q")
	concurrent := func(first, calls int) time.Duration {
		begin := time.Now()
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() { complete(t, url, first+i, 10, "q") })
		}
		wg.Wait()
		return time.Since(begin)
	}
	batch := concurrent(100, 4)
	queued := concurrent(200, 8)
	must.Greater(t, 3, batch.Seconds()/alone.Seconds())    // 28 ms and 4 ms per token: 7 without overhead
	must.Greater(t, 1.4, queued.Seconds()/batch.Seconds()) // two batches: 2 without overhead

	prompt := strings.Repeat("abcd", 2000)
	cold := complete(t, url, 1, 1, prompt)
	warm := complete(t, url, 2, 1, prompt)
	must.Greater(t, 3, cold.Seconds()/warm.Seconds()) // 400 ms of prefill and 4 ms of decoding when cold
	must.Greater(t, 2000, e.Stats().CachedTokens)
}

// Guards against a time scale that does not shorten the time that a completion takes.
func TestEngineTimeScale(t *testing.T) {
	_, slow := start(t, enginestand.Settings{DecodeBase: 20 * time.Millisecond})
	_, fast := start(t, enginestand.Settings{DecodeBase: 20 * time.Millisecond, Scale: 10})
	must.Greater(t, 3, complete(t, slow, 1, 10, "q").Seconds()/complete(t, fast, 1, 10, "q").Seconds())
}

// Guards against answers to different messages that are equal, with which tests could not detect that an engine got
// wrong messages. White space in the JSON of the messages must not change the answer.
func TestAnswerDependsOnMessages(t *testing.T) {
	one := []json.RawMessage{json.RawMessage(`{"role":"user","content":"a"}`)}
	spaced := []json.RawMessage{json.RawMessage(`{"role": "user", "content": "a"}`)}
	other := []json.RawMessage{json.RawMessage(`{"role":"user","content":"b"}`)}
	must.Eq(t, enginestand.Answer(one, 3), enginestand.Answer(spaced, 3))
	must.NotEq(t, enginestand.Answer(one, 3), enginestand.Answer(other, 3))
	must.NotEq(t, enginestand.Answer(one, 3), enginestand.Answer(append(one, other...), 3))
}
