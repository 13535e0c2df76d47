package wire

import (
	"time"

	"ragwortstile/internal/history"
)

// TurnBegin asks the holder of a program's partition for leave to run a turn. The reply is TurnBegun.
type TurnBegin struct {
	Part  int           `msgpack:"pt"`
	Begin history.Begin `msgpack:"b"`
}

// TurnBegun answers TurnBegin.
type TurnBegun struct {
	Outcome history.Outcome `msgpack:"o"`
	Body    []byte          `msgpack:"bd"` // text of the chain, unless the asker has it
}

// TurnConfirm waits until the grant that a turn runs under is in the store. The reply is Ack.
type TurnConfirm struct {
	Part    int    `msgpack:"pt"`
	Program string `msgpack:"p"`
	Turn    string `msgpack:"id"`
}

// TurnEnd tells how a turn ended. The reply is Ack, for a whole turn once it is in the store.
type TurnEnd struct {
	Part int         `msgpack:"pt"`
	End  history.End `msgpack:"e"`
}

// TurnFind asks for a turn in all partitions that the receiver holds. The reply is TurnFound.
type TurnFind struct {
	Turn string `msgpack:"id"`
}

// TurnFound answers TurnFind.
type TurnFound struct {
	Found bool   `msgpack:"f"`
	Body  []byte `msgpack:"bd"` // text of the chain with the turn
	Parts []int  `msgpack:"pt"` // partitions that were searched
	// Doubtful means that records were held in memory only a short time ago, so that what isn't found may
	// still exist.
	Doubtful bool `msgpack:"d"`
}

// TurnAdopt asks the holder of a partition to keep the chain of a turn of another partition. The reply
// is Ack, once it is in the store.
type TurnAdopt struct {
	Part int           `msgpack:"pt"`
	Turn string        `msgpack:"id"`
	Body []byte        `msgpack:"bd"`
	Keep time.Duration `msgpack:"kp"`
}

// LoadReport tells how many requests the sender has at endpoints. It is one-way.
type LoadReport struct {
	Endpoints []EndpointLoad `msgpack:"e"`
}

// EndpointLoad is the sender's part of the load of an endpoint.
type EndpointLoad struct {
	ID      string `msgpack:"id"`
	Running int    `msgpack:"r"`
	Overdue bool   `msgpack:"o"` // an answer takes far longer to begin than usual
}

// HistoryHold asks a peer to hold copies of records that the store doesn't take. The reply is HistoryHeld.
type HistoryHold struct {
	Part    int      `msgpack:"pt"`
	Epoch   int64    `msgpack:"e"`
	Records [][]byte `msgpack:"r"`
}

// HistoryHeld answers HistoryHold.
type HistoryHeld struct {
	Held         bool `msgpack:"h"`
	StoreReached bool `msgpack:"s"` // the store answers the peer
	Replaced     bool `msgpack:"r"` // a later holder has claimed the partition and has asked for the copies
}

// HistoryIndex asks which copies there are of a partition that its new holder has claimed under an epoch.
// No copies of earlier epochs are taken afterwards. The reply is HistoryIndexed.
type HistoryIndex struct {
	Part  int   `msgpack:"pt"`
	Epoch int64 `msgpack:"e"`
}

// HistoryIndexed answers HistoryIndex. Sums are hashes of the encoded records.
type HistoryIndexed struct {
	Sums []uint64 `msgpack:"s"`
}

// HistoryCollect asks for some copies of a partition. The reply is HistoryCollected.
type HistoryCollect struct {
	Part int      `msgpack:"pt"`
	Sums []uint64 `msgpack:"s"`
}

// HistoryCollected answers HistoryCollect.
type HistoryCollected struct {
	Records [][]byte `msgpack:"r"`
}

// HistoryOffer tells the holder of a partition which copies the sender has. Its claim may not have collected
// them, since the sender was out of its reach. It is one-way.
type HistoryOffer struct {
	Part int      `msgpack:"pt"`
	Sums []uint64 `msgpack:"s"`
}

// HistoryStored tells that all records of a partition up to an epoch are in the store, so that copies are not
// needed any more. It is one-way.
type HistoryStored struct {
	Part  int   `msgpack:"pt"`
	Epoch int64 `msgpack:"e"`
}

// GroupChanged tells that the sender has joined or left the group that holds the history. It is one-way.
type GroupChanged struct{}

// PartitionClaims tells which partitions of the history the sender holds. It is one-way, sent after each claim and
// on each new connection.
type PartitionClaims struct {
	Member string  `msgpack:"m"` // name in the group
	Claims []Claim `msgpack:"c"`
}

// Claim is a partition that an instance has claimed.
type Claim struct {
	Part  int   `msgpack:"pt"`
	Epoch int64 `msgpack:"e"`
}

// StoreViewGet asks a peer for the configuration and the endpoints that it acts on. The reply is StoreView.
type StoreViewGet struct{}

// StoreView answers StoreViewGet, with records as they lie in the store.
type StoreView struct {
	Config    []byte            `msgpack:"c"` // empty when the peer has none
	Age       time.Duration     `msgpack:"a"` // since the configuration was known to be the newest
	Endpoints []KeyedRecord     `msgpack:"e"`
	Holding   []PartitionClaims `msgpack:"h"` // who holds the history
}

// KeyedRecord is a record with its key.
type KeyedRecord struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
}
