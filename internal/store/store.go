// Package store describes the log store that keeps what must last: topics of partitions with offsets,
// conditional and fenced appends, the newest record of each key, and groups that deal partitions out.
// The adapter of the platform implements it; tests use a stand-in.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of calls. Any other error leaves open whether the call had an effect.
var (
	// ErrUnavailable means that the store did nothing and may do so later.
	ErrUnavailable = errors.New("store unavailable")
	// ErrFenced means that a higher epoch has been used by another writer.
	ErrFenced = errors.New("fenced by a higher epoch")
	// ErrNotMember means that the member does not hold the partition.
	ErrNotMember = errors.New("not the holder of the partition")
)

// MovedError tells that a conditional append found another end.
type MovedError struct{ End int64 }

// Error implements error.
func (e *MovedError) Error() string { return fmt.Sprintf("partition ends at %d", e.End) }

// SequenceError tells that an append did not follow the last one of its producer.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string { return fmt.Sprintf("expected sequence number %d", e.Expected) }

// TrimmedError tells that the records asked for are gone.
type TrimmedError struct{ First int64 }

// Error implements error.
func (e *TrimmedError) Error() string { return fmt.Sprintf("first retained offset is %d", e.First) }

// Answered tells whether the outcome of a call shows that the store is in reach: it succeeded, or was refused
// for a reason of its own.
func Answered(err error) bool {
	var moved *MovedError
	var sequence *SequenceError
	var trimmed *TrimmedError
	return err == nil || errors.Is(err, ErrFenced) || errors.Is(err, ErrNotMember) ||
		errors.As(err, &moved) || errors.As(err, &sequence) || errors.As(err, &trimmed)
}

// Partition names a partition of a topic.
type Partition struct {
	Topic string
	Part  int
}

// AppendRequest is a call that appends records, all or none.
type AppendRequest struct {
	Partition
	Records [][]byte
	// Producer fences writers of the partition: a lower epoch than the highest seen fails with
	// ErrFenced, and a repeated Sequence has no second effect. Empty for appends without a fence.
	Producer string
	Epoch    int64
	Sequence int64
	// ExpectedEnd makes the append fail with a MovedError unless the partition ends there; negative means no
	// condition.
	ExpectedEnd int64
}

// Batch is what a read returns.
type Batch struct {
	First   int64 // first retained offset of the partition
	End     int64 // offset after its last record
	Records [][]byte
}

// KeyedRecord is the newest record of a key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// Assignment names the member that holds a partition.
type Assignment struct {
	Partition
	Member string
}

// Membership is a member's view of its group.
type Membership struct {
	Generation int64
	Held       []Partition
}

// Log is the part of the store for an application's own topics.
type Log interface {
	// Append returns the offset after the records.
	Append(ctx context.Context, a AppendRequest) (end int64, err error)
	// Read returns records from an offset, waiting up to the given time for the first.
	Read(ctx context.Context, p Partition, from int64, maxBytes int, wait time.Duration) (Batch, error)
	// Trim deletes the records before an offset.
	Trim(ctx context.Context, p Partition, before int64) error
}

// Groups deals the partitions of topics to members.
type Groups interface {
	Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (Membership, error)
	Leave(ctx context.Context, group, member string) error
	Assignments(ctx context.Context, group string) ([]Assignment, error)
}

// CompactedTopics is a topic with keys, of which the newest record of each is retained.
type CompactedTopics interface {
	// Newest returns all items and the end of the topic, which is at or before any record that the
	// items do not show.
	Newest(ctx context.Context, topic string) (items []KeyedRecord, end int64, err error)
	// Changes returns what was written from an offset on; an item without a value is a removal.
	Changes(ctx context.Context, topic string, from int64, wait time.Duration) (items []KeyedRecord, end int64, err error)
}
