package api

import (
	"io"
	"net/http"
	"time"
)

// bodyTimeout bounds the time that a caller may take to send a body. 8 MiB take 1.2 s at 56 Mbit/s.
const bodyTimeout = 30 * time.Second

// timedBody sets a read deadline while a body is read and clears it at the end: a deadline that is
// left would end the request while its answer is awaited.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
	begun   bool
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		_ = b.control.SetReadDeadline(time.Now().Add(bodyTimeout)) // not supported by test recorders
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
