// Package store defines the interfaces of the log store, which holds all durable data. Log reads and
// appends to topics that consist of partitions with offsets; appends can be conditional on the end of the
// partition, or fenced by an epoch. Groups assigns the partitions of topics to the members of a group.
// CompactedTopics reads topics that retain the newest record of each key. The platform adapter implements
// the interfaces; tests use an in-memory implementation.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of the methods, beside the error types below. After an error that this package does not define,
// it is unknown whether the operation took effect.
var (
	// ErrUnavailable means that the operation had no effect and may succeed later.
	ErrUnavailable = errors.New("store unavailable")
	// ErrFenced means that another writer has used a higher epoch.
	ErrFenced = errors.New("fenced by a higher epoch")
	// ErrNotMember means that the partition is not assigned to the member.
	ErrNotMember = errors.New("not the holder of the partition")
)

// MovedError means that the partition of a conditional append did not end at the expected offset. End is
// the offset at which it ends.
type MovedError struct{ End int64 }

// Error implements error.
func (e *MovedError) Error() string { return fmt.Sprintf("partition ends at %d", e.End) }

// SequenceError means that the sequence number of an append does not follow the last one of its producer.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string { return fmt.Sprintf("expected sequence number %d", e.Expected) }

// TrimmedError means that the requested records have been deleted. First is the first retained offset.
type TrimmedError struct{ First int64 }

// Error implements error.
func (e *TrimmedError) Error() string { return fmt.Sprintf("first retained offset is %d", e.First) }

// Answered reports whether the error of an operation, or nil, shows that the store is reachable: the
// operation succeeded, or failed with ErrFenced, ErrNotMember or one of the error types above.
func Answered(err error) bool {
	var moved *MovedError
	var sequence *SequenceError
	var trimmed *TrimmedError
	return err == nil || errors.Is(err, ErrFenced) || errors.Is(err, ErrNotMember) ||
		errors.As(err, &moved) || errors.As(err, &sequence) || errors.As(err, &trimmed)
}

// Partition identifies a partition of a topic.
type Partition struct {
	Topic string
	Part  int // number of the partition in its topic
}

// AppendRequest holds the arguments of Log.Append.
type AppendRequest struct {
	Partition
	Records [][]byte
	// Producer is the key for fencing the writers of the partition: an append with a lower Epoch than
	// the highest one used fails with ErrFenced, and an append with a repeated Sequence has no further
	// effect. If Producer is empty, the append is not fenced.
	Producer string
	Epoch    int64
	Sequence int64
	// ExpectedEnd makes the append fail with a MovedError unless the partition ends at this offset;
	// negative means no condition.
	ExpectedEnd int64
}

// Batch is the result of Log.Read.
type Batch struct {
	First   int64 // first retained offset of the partition
	End     int64 // offset after the last record of the partition
	Records [][]byte
}

// KeyedRecord is a record of a compacted topic.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// Assignment is a partition and the group member that it is assigned to.
type Assignment struct {
	Partition
	Member string
}

// Membership is the state of one member of a group.
type Membership struct {
	Generation int64
	Held       []Partition // partitions assigned to the member
}

// Log reads and writes the partitions of an application's own topics.
type Log interface {
	// Append appends all records of the request or none, and returns the offset after the last one.
	Append(ctx context.Context, a AppendRequest) (end int64, err error)
	// Read returns records from an offset on. If there is none yet, it waits for one, but no longer than
	// wait. If the response is cut short, also by the end of ctx, Read returns the records that have arrived whole, and
	// fails only if there are none.
	Read(ctx context.Context, p Partition, from int64, maxBytes int, wait time.Duration) (Batch, error)
	// Trim deletes the records before the given offset.
	Trim(ctx context.Context, p Partition, before int64) error
}

// Groups assigns the partitions of topics to the members of groups.
type Groups interface {
	// Join adds a member to a group, or renews its membership for ttl, and returns its assigned partitions.
	// generation is that of the caller's last Membership, 0 for none.
	Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (Membership, error)
	// Leave removes a member from a group.
	Leave(ctx context.Context, group, member string) error
	// Assignments returns the assigned partitions of all members of a group.
	Assignments(ctx context.Context, group string) ([]Assignment, error)
}

// CompactedTopics reads topics whose records have keys, and which retain the newest record of each key.
type CompactedTopics interface {
	// Newest returns the newest record of each key and an end offset. The result reflects at least all
	// records before end, so that a call of Changes from end on misses no record.
	Newest(ctx context.Context, topic string) (records []KeyedRecord, end int64, err error)
	// Changes returns the records from an offset on and the end offset for the next call, waiting up to wait
	// for the first record. A record without a value removes its key. It returns a TrimmedError if records from that
	// offset on have been deleted, or if the topic ends before it.
	Changes(
		ctx context.Context, topic string, from int64, wait time.Duration,
	) (records []KeyedRecord, end int64, err error)
}
