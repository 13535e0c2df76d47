// Package publish reads and publishes the manifest on the config stream of the platform's log, for
// operators. Publish appends a manifest and waits for the verdict; a Reader finds the manifest in force.
package publish

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/logservice"
	"ragwortstile/internal/record"
)

const (
	stream = "config"
	// appendRetryDelay is the time between attempts of an append that got no response from the log or was
	// rate limited.
	appendRetryDelay = 200 * time.Millisecond
	// readWait is the duration of a long poll while Publish waits to read its own record.
	readWait = time.Second
)

// ConflictError means that another publication came first. The manifest in force is unchanged.
type ConflictError struct {
	Expected uint64
	Current  uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version_conflict: expected version %d, version %d is in force", e.Expected, e.Current)
}

// ErrUndecided means that the log no longer holds the records that decide which version is in force. A
// controller writes the manifest in force again within a third of the retention, so the state is
// temporary.
var ErrUndecided = errors.New("the log does not tell which manifest version is in force")

// Reader applies the records of the config stream.
type Reader struct {
	client  *logservice.LogClient
	configs *fsm.Configs // nil before the first read
}

// NewReader returns a Reader that accesses the log through a client.
func NewReader(client *logservice.LogClient) *Reader { return &Reader{client: client} }

// ReadToEnd reads the config stream up to its current end and returns the manifest in force.
func (r *Reader) ReadToEnd(ctx context.Context) (fsm.Manifest, error) {
	if r.configs == nil {
		bounds, err := r.client.Bounds(ctx, stream)
		if err != nil {
			return fsm.Manifest{}, err
		}
		r.configs = fsm.NewConfigs(0, bounds.Earliest)
	}
	for {
		n, _, err := r.read(ctx, 0, "")
		if err != nil {
			return fsm.Manifest{}, err
		}
		if n == 0 {
			return r.configs.Current(), nil
		}
	}
}

// VersionExact reports whether the records read from the log decide the version in force.
func (r *Reader) VersionExact() bool { return r.configs != nil && r.configs.VersionExact() }

// read applies the next page of entries. It returns the number of entries, and the verdict on the
// publication of a session or 0 if the page does not have it.
func (r *Reader) read(ctx context.Context, wait time.Duration, session id.Session) (int, fsm.Verdict, error) {
	page, err := r.client.Read(ctx, stream, r.configs.Next(), wait)
	if err != nil {
		return 0, 0, err
	}
	var verdict fsm.Verdict
	for _, e := range page.Entries {
		b, err := record.Decode(e.Data)
		if err != nil {
			b = record.Batch{Session: "undecodable"} // advances the offset and changes nothing
		}
		for _, effect := range r.configs.Apply(e.Offset, b) {
			if _, ok := effect.Record.(record.Publish); ok && effect.Writer == session && effect.Verdict != fsm.Duplicate {
				verdict = effect.Verdict
			}
		}
	}
	return len(page.Entries), verdict, nil
}

// Request is a publication of a manifest. Expected is the version that it replaces.
type Request struct {
	Expected uint64
	Data     []byte // canonical JSON
	Digest   string
	Operator string
}

// Publish appends a manifest and waits until it reads the record back with its verdict. It returns the
// new version, or a ConflictError if another publication came first. An append whose response was lost
// is retried with the same bytes, so that it takes effect only once.
func Publish(ctx context.Context, client *logservice.LogClient, req Request) (uint64, error) {
	r := NewReader(client)
	current, err := r.ReadToEnd(ctx)
	if err != nil {
		return 0, err
	}
	if r.VersionExact() && current.Version != req.Expected {
		return 0, &ConflictError{Expected: req.Expected, Current: current.Version}
	}
	session := id.Session("operator-" + strings.ToLower(rand.Text()[:8]) + "." + strings.ToLower(rand.Text()[:10]))
	data, err := record.Encode(record.Batch{Session: session, Seq: 1, At: time.Now(), Records: []record.Record{
		record.Publish{Expected: req.Expected, Manifest: req.Data, Digest: req.Digest, Operator: req.Operator},
	}})
	if err != nil {
		return 0, err
	}
	if err := appendWithRetry(ctx, client, data); err != nil {
		return 0, err
	}
	return r.awaitVerdict(ctx, session, req.Expected)
}

// appendWithRetry appends data to the config stream. It retries while the log gives no result or limits the
// rate, until the context ends. Other errors are returned immediately.
func appendWithRetry(ctx context.Context, client *logservice.LogClient, data []byte) error {
	for {
		_, err := client.Append(ctx, stream, data)
		if err == nil || errors.Is(err, logservice.ErrTooLarge) || ctx.Err() != nil {
			return err
		}
		if !errors.Is(err, logservice.ErrUnknownResult) && !isRateLimited(err) {
			return err // the append had no effect
		}
		timer := time.NewTimer(appendRetryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("it is not known whether the publication took effect: %w", err)
		}
	}
}

func isRateLimited(err error) bool {
	var e *logservice.RateLimitedError
	return errors.As(err, &e)
}

// awaitVerdict reads until the publication of a session has a verdict, and returns the new version.
func (r *Reader) awaitVerdict(ctx context.Context, session id.Session, expected uint64) (uint64, error) {
	for {
		_, verdict, err := r.read(ctx, readWait, session)
		if err != nil {
			return 0, fmt.Errorf("the publication was appended, but its verdict was not read: %w", err)
		}
		switch verdict {
		case fsm.Valid:
			return expected + 1, nil
		case fsm.WrongExpected:
			return 0, &ConflictError{Expected: expected, Current: r.configs.Current().Version}
		case fsm.Undecided:
			return 0, ErrUndecided
		case 0:
			if ctx.Err() != nil {
				return 0, ctx.Err()
			}
		default:
			return 0, fmt.Errorf("the publication was not accepted: %s", verdict)
		}
	}
}
