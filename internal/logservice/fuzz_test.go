package logservice

import (
	"errors"
	"net/http"
	"testing"
)

// Guards against a faulty read response that makes the reader skip, repeat or reorder records, or panic.
func FuzzReadAnswer(f *testing.F) {
	f.Add(200, uint64(3), []byte(`{"records":[{"offset":3,"data":"eA=="}],"earliest":1,"next":4}`))
	f.Add(200, uint64(3), []byte(`{"records":[{"offset":3,"data":"eA=="},{"offset":5,"data":""}],"next":6}`))
	f.Add(200, uint64(9), []byte(`{"records":[],"earliest":0,"next":4}`))
	f.Add(200, uint64(1<<63), []byte(`{"records":[{"offset":9223372036854775808}],"next":0}`))
	f.Add(410, uint64(3), []byte(`{"earliest":7,"next":9}`))
	f.Add(410, uint64(8), []byte(`{"earliest":7,"next":9}`))
	f.Add(429, uint64(0), []byte(``))
	f.Add(503, uint64(0), []byte(`{`))
	f.Fuzz(func(t *testing.T, status int, from uint64, body []byte) {
		page, err := parseReadResponse(response{status: status, header: http.Header{}, body: body}, from)
		var expired *ExpiredError
		if errors.As(err, &expired) && (expired.Earliest <= from || status != http.StatusGone) {
			t.Errorf("expired offset %d moves the reader to %d", from, expired.Earliest)
		}
		if err != nil {
			return
		}
		if status != http.StatusOK {
			t.Fatalf("status %d accepted", status)
		}
		next := from
		for _, e := range page.Entries {
			if e.Offset != next {
				t.Fatalf("offset %d after %d", e.Offset, next)
			}
			next++
		}
		if page.Next < next || (len(page.Entries) == 0 && page.Next != from) {
			t.Fatalf("next is %d after a read up to %d", page.Next, next)
		}
	})
}

// Guards against a malformed append response that is taken for a committed batch.
func FuzzAppendAnswer(f *testing.F) {
	f.Add([]byte(`{"offset":12}`))
	f.Add([]byte(`{"offset":null}`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"offset":-1}`))
	f.Add([]byte(`{"offset":1.5}`))
	f.Add([]byte(`[12]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		offset, err := parseAppendResponse(body)
		if err == nil {
			return
		}
		if offset != 0 || !errors.Is(err, ErrUnknownResult) || !errors.Is(err, ErrMalformed) {
			t.Fatalf("offset %d, error %v", offset, err)
		}
	})
}
