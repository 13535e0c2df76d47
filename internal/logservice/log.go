package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	// MaxAppendBytes is the largest size of one record, which is the data of one append.
	MaxAppendBytes = 1 << 20
	// maxPageBytes limits the data requested by one read. The log sends at least one record, even if
	// that record is larger.
	maxPageBytes = 4 << 20
	// maxReadResponseBytes bounds the response to a read: a page plus one record, in base64.
	maxReadResponseBytes = (maxPageBytes + MaxAppendBytes) * maxResponseFactor
)

// Entry is one record of a stream. Data holds the bytes of one append.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of a read. Entries have consecutive offsets that start at the requested one.
type Page struct {
	Entries  []Entry `json:"records"`
	Earliest uint64  `json:"earliest"` // first offset that the stream still holds
	Next     uint64  `json:"next"`     // offset of the next append
}

// Bounds is the range of offsets that a stream holds: Earliest to Next-1.
type Bounds struct {
	Earliest uint64
	Next     uint64
}

// LogClient appends to and reads from the streams of the log. It never retries a request. It is safe for
// concurrent use.
type LogClient struct {
	baseURL string
	client  *http.Client
}

// NewLogClient returns a client for the log at a base URL.
func NewLogClient(baseURL string, client *http.Client) *LogClient {
	return &LogClient{baseURL: strings.TrimRight(baseURL, "/"), client: client}
}

// Append appends data as one record and returns its offset. Errors: RateLimitedError, ErrOutage and
// ErrTooLarge when nothing was appended, ErrUnknownResult when the record may have been appended.
func (c *LogClient) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if len(data) > MaxAppendBytes {
		return 0, fmt.Errorf("append of %d bytes: %w", len(data), ErrTooLarge)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	r, err := do(c.client, req, maxErrorBytes)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, appendError(err))
	}
	if r.status != http.StatusOK {
		return 0, fmt.Errorf("append to %s: %w", stream, statusError(r))
	}
	offset, err := parseAppendResponse(r.body)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	return offset, nil
}

// appendError turns ErrTooLarge for a response into ErrUnknownResult: the log has received the request,
// so the record may have been appended.
func appendError(err error) error {
	if errors.Is(err, ErrTooLarge) {
		return fmt.Errorf("%w: %w", ErrUnknownResult, ErrMalformed)
	}
	return err
}

// parseAppendResponse reads {"offset":N}. A response without an offset is ErrUnknownResult.
func parseAppendResponse(body []byte) (uint64, error) {
	var parsed struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return 0, fmt.Errorf("%w: %w: %w", ErrUnknownResult, ErrMalformed, err)
	}
	if parsed.Offset == nil {
		return 0, fmt.Errorf("%w: %w: offset is missing", ErrUnknownResult, ErrMalformed)
	}
	return *parsed.Offset, nil
}

// Read returns the records from an offset on. If there are none yet, the log delays its response until
// the next append, but at most for the duration wait; the page is then empty. Errors: ExpiredError,
// RateLimitedError, ErrOutage, ErrMalformed, ErrUnknownResult.
func (c *LogClient) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	return c.read(ctx, stream, from, wait, maxPageBytes)
}

// Bounds returns the earliest offset that the stream holds and the offset of the next append.
func (c *LogClient) Bounds(ctx context.Context, stream string) (Bounds, error) {
	page, err := c.read(ctx, stream, 0, 0, 1)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		return Bounds{Earliest: expired.Earliest, Next: expired.Next}, nil
	}
	if err != nil {
		return Bounds{}, err
	}
	return Bounds{Earliest: page.Earliest, Next: page.Next}, nil
}

// Earliest returns the first offset that the stream still holds.
func (c *LogClient) Earliest(ctx context.Context, stream string) (uint64, error) {
	b, err := c.Bounds(ctx, stream)
	return b.Earliest, err
}

// Next returns the offset that the next append will get.
func (c *LogClient) Next(ctx context.Context, stream string) (uint64, error) {
	b, err := c.Bounds(ctx, stream)
	return b.Next, err
}

func (c *LogClient) read(ctx context.Context, stream string, from uint64, wait time.Duration, maxBytes int) (Page, error) {
	u := fmt.Sprintf("%s?from=%d&wait_ms=%d&max_bytes=%d", c.recordsURL(stream), from, wait.Milliseconds(), maxBytes)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Page{}, err
	}
	r, err := do(c.client, req, maxReadResponseBytes)
	if err != nil {
		return Page{}, fmt.Errorf("read %s from %d: %w", stream, from, err)
	}
	page, err := parseReadResponse(r, from)
	if err != nil {
		return Page{}, fmt.Errorf("read %s from %d: %w", stream, from, err)
	}
	return page, nil
}

// parseReadResponse checks that a page starts at the requested offset and has no gap, so that a
// reader never skips a record because of a faulty response.
func parseReadResponse(r response, from uint64) (Page, error) {
	if r.status == http.StatusGone {
		return Page{}, parseExpired(r.body, from)
	}
	if r.status != http.StatusOK {
		return Page{}, statusError(r)
	}
	var page Page
	if err := json.Unmarshal(r.body, &page); err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for i, e := range page.Entries {
		if e.Offset != from+uint64(i) {
			return Page{}, fmt.Errorf("%w: record %d has offset %d, want %d", ErrMalformed, i, e.Offset, from+uint64(i))
		}
	}
	end := from + uint64(len(page.Entries))
	if page.Next < end || page.Earliest > page.Next {
		return Page{}, fmt.Errorf("%w: next is %d after a read up to %d", ErrMalformed, page.Next, end)
	}
	if len(page.Entries) == 0 && page.Next > from {
		return Page{}, fmt.Errorf("%w: no records below next offset %d", ErrMalformed, page.Next)
	}
	return page, nil
}

func parseExpired(body []byte, from uint64) error {
	var parsed struct {
		Earliest uint64 `json:"earliest"`
		Next     uint64 `json:"next"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if parsed.Earliest <= from || parsed.Next < parsed.Earliest {
		return fmt.Errorf("%w: offset %d expired, but earliest is %d and next is %d", ErrMalformed, from, parsed.Earliest, parsed.Next)
	}
	return &ExpiredError{Earliest: parsed.Earliest, Next: parsed.Next}
}

func (c *LogClient) recordsURL(stream string) string {
	return c.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
}
