package gateway

import (
	"bytes"
	"io"
	"net/http"
)

// hold reads the body of the request into memory.
func (q *request) hold() *rejection {
	limit := q.limits.BodyBytes
	var body bytes.Buffer
	if n := q.r.ContentLength; n > 0 && n <= limit {
		body.Grow(int(n) + bytes.MinRead)
	}
	n, err := body.ReadFrom(io.LimitReader(q.r.Body, limit+1))
	switch {
	case n > limit:
		q.w.Header().Set("Connection", "close")
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	case err != nil:
		q.w.Header().Set("Connection", "close")
		return &rejection{status: http.StatusBadRequest, reason: reasonBadBody}
	}
	q.body = body.Bytes()
	return nil
}
