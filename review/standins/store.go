package main

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortstile/internal/store"
)

// historyTopic is the topic in which the program keeps the history. The stand-in deletes its old records.
const historyTopic = "history"

// expireRecords deletes the records of the history that are older than the store's retention, as the store does.
func (c *cluster) expireRecords() {
	type mark struct {
		end int64
		at  time.Time
	}
	marks := make(map[int][]mark)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.stopped:
			return
		case <-tick.C:
		}
		now := time.Now()
		for part := range partitions {
			p := store.Partition{Topic: historyTopic, Part: part}
			b, err := c.store.Store.Read(context.Background(), p, math.MaxInt64, 0, 0)
			if err != nil {
				continue // a fault of the store that the case has set
			}
			marks[part] = append(marks[part], mark{b.End, now})
			for len(marks[part]) > 0 && now.Sub(marks[part][0].at) > c.storeRetention {
				if end := marks[part][0].end; end > b.First {
					_ = c.store.Store.Trim(context.Background(), p, end) // tried again with the next mark
				}
				marks[part] = marks[part][1:]
			}
		}
	}
}

// withoutPartition returns the instances to which the store has assigned no partition.
func (c *cluster) withoutPartition() []*gateway {
	rows, err := c.store.Store.Assignments(context.Background(), historyTopic)
	if err != nil {
		return nil
	}
	var out []*gateway
	for _, g := range c.gateways {
		if !slices.ContainsFunc(rows, func(row store.Assignment) bool { return g.is(row.Member) }) {
			out = append(out, g)
		}
	}
	return out
}

// is reports whether the instance is a member of the group, whose name begins with that of the instance.
func (g *gateway) is(member string) bool { return strings.HasPrefix(member, g.name+"@") }

// holder returns the instance to which the store has assigned the partition of a program.
func (c *cluster) holder(program string) *gateway {
	part := int(xxhash.Sum64String(program) % partitions)
	rows, err := c.store.Store.Assignments(context.Background(), historyTopic)
	if err != nil {
		return nil
	}
	for _, row := range rows {
		for _, g := range c.gateways {
			if row.Part == part && g.is(row.Member) {
				return g
			}
		}
	}
	return nil
}
