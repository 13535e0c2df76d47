// Package publish reads and writes the manifest on the log's config stream, for operators.
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
	// retryPause is the time between attempts of an append that the log did not answer.
	retryPause = 200 * time.Millisecond
	// readWait is the long poll while the publisher waits for its own record.
	readWait = time.Second
)

// ConflictError tells that another publication came first. Nothing was changed.
type ConflictError struct {
	Expected uint64
	Current  uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version_conflict: expected version %d, version %d is in force", e.Expected, e.Current)
}

// ErrUndecided tells that the log no longer holds enough to tell which version is in force. A
// controller writes it again within a third of the retention.
var ErrUndecided = errors.New("the log does not tell which manifest version is in force")

// Reader folds the config stream.
type Reader struct {
	client *logservice.LogClient
	fold   *fsm.Configs
}

// NewReader returns a reader of the log at a base URL.
func NewReader(client *logservice.LogClient) *Reader { return &Reader{client: client} }

// ReadToEnd reads everything that the log holds and returns the manifest in force.
func (r *Reader) ReadToEnd(ctx context.Context) (fsm.Manifest, error) {
	if r.fold == nil {
		bounds, err := r.client.Bounds(ctx, stream)
		if err != nil {
			return fsm.Manifest{}, err
		}
		r.fold = fsm.NewConfigs(0, bounds.Earliest)
	}
	for {
		n, _, err := r.read(ctx, 0, "")
		if err != nil {
			return fsm.Manifest{}, err
		}
		if n == 0 {
			return r.fold.Current(), nil
		}
	}
}

// Exact tells whether the version is decided by the log.
func (r *Reader) Exact() bool { return r.fold != nil && r.fold.Exact() }

// read folds the next page and returns its size and the verdict on the publication of a session.
func (r *Reader) read(ctx context.Context, wait time.Duration, session id.Session) (int, fsm.Verdict, error) {
	page, err := r.client.Read(ctx, stream, r.fold.Next(), wait)
	if err != nil {
		return 0, 0, err
	}
	var verdict fsm.Verdict
	for _, e := range page.Entries {
		b, err := record.Decode(e.Data)
		if err != nil {
			b = record.Batch{Session: "undecodable"} // it counts as read and changes nothing
		}
		for _, effect := range r.fold.Apply(e.Offset, b) {
			if _, own := effect.Record.(record.Publish); own && effect.Writer == session && effect.Verdict != fsm.Duplicate {
				verdict = effect.Verdict
			}
		}
	}
	return len(page.Entries), verdict, nil
}

// Request is one publication. Expected is the version that it replaces.
type Request struct {
	Expected uint64
	Data     []byte // canonical JSON
	Digest   string
	Operator string
}

// Publish appends a manifest and waits until the log has decided. It returns the new version, or a
// ConflictError if another publication came first. An append whose answer was lost is repeated with
// the same bytes and counts once.
func Publish(ctx context.Context, client *logservice.LogClient, req Request) (uint64, error) {
	r := NewReader(client)
	current, err := r.ReadToEnd(ctx)
	if err != nil {
		return 0, err
	}
	if r.Exact() && current.Version != req.Expected {
		return 0, &ConflictError{Expected: req.Expected, Current: current.Version}
	}
	session := id.Session("operator-" + strings.ToLower(rand.Text()[:8]) + "." + strings.ToLower(rand.Text()[:10]))
	data, err := record.Encode(record.Batch{Session: session, Seq: 1, At: time.Now(), Records: []record.Record{
		record.Publish{Expected: req.Expected, Manifest: req.Data, Digest: req.Digest, Operator: req.Operator},
	}})
	if err != nil {
		return 0, err
	}
	if err := appendUntilTaken(ctx, client, data); err != nil {
		return 0, err
	}
	return r.await(ctx, session, req.Expected)
}

func appendUntilTaken(ctx context.Context, client *logservice.LogClient, data []byte) error {
	for {
		_, err := client.Append(ctx, stream, data)
		if err == nil || errors.Is(err, logservice.ErrTooLarge) || ctx.Err() != nil {
			return err
		}
		if !errors.Is(err, logservice.ErrUnknownResult) && !limited(err) {
			return err // nothing took effect
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("it is not known whether the publication took effect: %w", err)
		}
	}
}

func limited(err error) bool {
	var e *logservice.RateLimitedError
	return errors.As(err, &e)
}

func (r *Reader) await(ctx context.Context, session id.Session, expected uint64) (uint64, error) {
	for {
		_, verdict, err := r.read(ctx, readWait, session)
		if err != nil {
			return 0, fmt.Errorf("the publication was appended, but its verdict was not read: %w", err)
		}
		switch verdict {
		case fsm.Valid:
			return expected + 1, nil
		case fsm.WrongExpected:
			return 0, &ConflictError{Expected: expected, Current: r.fold.Current().Version}
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
