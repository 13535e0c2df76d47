package wire

import (
	"time"

	"ragwortstile/internal/history"
)

// TurnBegin asks the leader of a program's partition for permission to run an attempt of a turn. The reply is
// TurnBegun.
type TurnBegin struct {
	Part  int           `msgpack:"pt"`
	Begin history.Begin `msgpack:"b"`
}

// TurnBegun is the reply to TurnBegin.
type TurnBegun struct {
	Outcome history.Outcome `msgpack:"o"`
	Body    []byte          `msgpack:"bd"`           // encoded chain of previous turns, unless the requester already has it
	Begun   bool            `msgpack:"bg,omitempty"` // the program has spent part of its budget already
}

// TurnConfirm asks whether the grant of a running turn is in the store. The reply is Ack, sent once it is.
type TurnConfirm struct {
	Part    int    `msgpack:"pt"`
	Program string `msgpack:"p"`
	Turn    string `msgpack:"id"`
}

// TurnEnd reports how an attempt of a turn ended. The reply is Ack; for a complete turn it is sent once the turn is
// in the store.
type TurnEnd struct {
	Part int         `msgpack:"pt"`
	End  history.End `msgpack:"e"`
}

// TurnFind asks a peer to search for a turn in all partitions that it leads. The reply is TurnFound.
type TurnFind struct {
	Turn string `msgpack:"id"`
}

// TurnFound is the reply to TurnFind.
type TurnFound struct {
	Found bool   `msgpack:"f"`
	Body  []byte `msgpack:"bd"` // encoded chain up to and including the turn
	Parts []int  `msgpack:"pt"` // partitions that were searched
	// Doubtful means that records may recently have existed only in the memory of instances, so a turn that is not
	// found may still exist.
	Doubtful bool `msgpack:"d"`
}

// TurnAdopt asks the leader of a partition to add a turn of another partition with its chain. The reply is Ack, sent
// once the turn is in the store.
type TurnAdopt struct {
	Part      int           `msgpack:"pt"`
	Turn      string        `msgpack:"id"`
	Body      []byte        `msgpack:"bd"`
	Retention time.Duration `msgpack:"kp"` // how long the turn is kept
}

// LoadReport tells a peer how many requests the sender is running at each endpoint. It is one-way.
type LoadReport struct {
	Endpoints []EndpointLoad `msgpack:"e"`
	Waiting   int            `msgpack:"w,omitempty"` // turns that wait at the sender
	Begun     int            `msgpack:"b,omitempty"` // those of them whose program has begun
	// Limits are the limits of endpoints that the sender has seen begin, change or end since its last report.
	Limits []EndpointLimit `msgpack:"l,omitempty"`
	CutOff bool            `msgpack:"c,omitempty"` // the sender reaches no endpoint
	// Leaving are the endpoints that have said to the sender since its last report that they leave. Earlier versions do not
	// know the field.
	Leaving []EndpointLeaving `msgpack:"lv,omitempty"`
	// Teams are the teams with the most service at the sender, at most 8. Earlier versions do not know the field; a report
	// without it says nothing of teams.
	Teams []TeamService `msgpack:"t,omitempty"`
	// Heard is the number of instances that the sender hears, with itself, if the configuration has teams. Earlier versions
	// do not know the field; a report without it says nothing of them.
	Heard int `msgpack:"h,omitempty"`
}

// TeamService is the service that a team attains at the sender of a load report, in thousandths of a slot.
type TeamService struct {
	Service string `msgpack:"v,omitempty"` // of the endpoints
	Team    string `msgpack:"n,omitempty"` // empty: callers without a team
	Milli   int    `msgpack:"m,omitempty"` // slots in use on average
	Wanted  int    `msgpack:"w,omitempty"` // slots that programs refused by the sender would have used
}

// EndpointLeaving is an endpoint that has said that it leaves.
type EndpointLeaving struct {
	ID          string `msgpack:"id"`
	StartUnixMs int64  `msgpack:"s"` // time of its start, in Unix milliseconds
}

// EndpointLimit is what an instance knows of the limit of an endpoint.
type EndpointLimit struct {
	ID        string        `msgpack:"id"`
	Limited   bool          `msgpack:"l,omitempty"`
	PerSecond float64       `msgpack:"s,omitempty"` // requests that the endpoint takes from all instances together, if limited
	Age       time.Duration `msgpack:"a,omitempty"` // time since it was observed
}

// SendPermitGet asks the issuer of an endpoint's permits for one, which is needed for each request to an endpoint that
// limits its requests. The reply is SendPermit.
type SendPermitGet struct {
	Limit EndpointLimit `msgpack:"l"` // what the sender knows
}

// SendPermit is the reply to SendPermitGet.
type SendPermit struct {
	Granted    bool          `msgpack:"g,omitempty"`
	RetryAfter time.Duration `msgpack:"r,omitempty"` // when to ask again, if not granted
	Limit      EndpointLimit `msgpack:"l"`           // what the issuer knows
}

// EndpointLoad is the part of an endpoint's load that the sender causes.
type EndpointLoad struct {
	ID      string `msgpack:"id"`
	Running int    `msgpack:"r"`
	Overdue bool   `msgpack:"o"` // a response takes far longer than usual to begin
}

// RequestCrashes tells a peer which requests were in progress at endpoints that ended, and which of those that were
// have been run since by endpoints that go on. It is one-way.
type RequestCrashes struct {
	Crashes []RequestCrash  `msgpack:"c,omitempty"`
	Served  []RequestDigest `msgpack:"s,omitempty"`
	// PassOn asks the recipient to send the message to its peers, because the sender is not connected with all instances.
	// Earlier versions do not pass it on.
	PassOn bool `msgpack:"po,omitempty"`
}

// RequestCrash is the end of an endpoint with a request in progress.
type RequestCrash struct {
	Request    RequestDigest `msgpack:"r"`
	PathServed bool          `msgpack:"p,omitempty"` // requests with the path have been served
	Endpoint   string        `msgpack:"e"`
	Age        time.Duration `msgpack:"a,omitempty"` // time since the end of the endpoint
	// Earlier has the endpoints that broke the connection off in earlier attempts at the same request. Earlier versions
	// neither send nor read it.
	Earlier []string `msgpack:"b,omitempty"`
}

// RequestDigest identifies requests that are the same for an endpoint.
type RequestDigest struct {
	Path uint64 `msgpack:"p"` // hash of method, host and path
	Body uint64 `msgpack:"b"` // hash of these and the body
}

// HistoryHold asks a peer to hold in-memory copies of records that the store does not accept. The reply is
// HistoryHeld.
type HistoryHold struct {
	Part    int      `msgpack:"pt"`
	Epoch   int64    `msgpack:"e"`
	Records [][]byte `msgpack:"r"`
}

// HistoryHeld is the reply to HistoryHold.
type HistoryHeld struct {
	Held         bool `msgpack:"h"` // the peer holds the copies
	StoreReached bool `msgpack:"s"` // the peer can reach the store
	Replaced     bool `msgpack:"r"` // a later leader has claimed the partition and has asked for the copies
}

// HistoryIndex is sent by the new leader of a partition, which has claimed it under Epoch. It asks a peer which copies
// of records of the partition it holds. From then on the peer accepts no copies of earlier epochs. The reply is
// HistoryIndexed.
type HistoryIndex struct {
	Part  int   `msgpack:"pt"`
	Epoch int64 `msgpack:"e"`
}

// HistoryIndexed is the reply to HistoryIndex. Sums are hashes of the encoded records.
type HistoryIndexed struct {
	Sums []uint64 `msgpack:"s"`
}

// HistoryCollect asks a peer for the copies with the given hashes. The reply is HistoryCollected.
type HistoryCollect struct {
	Part int      `msgpack:"pt"`
	Sums []uint64 `msgpack:"s"`
}

// HistoryCollected is the reply to HistoryCollect.
type HistoryCollected struct {
	Records [][]byte `msgpack:"r"`
}

// HistoryOffer tells the leader of a partition which copies the sender holds. The leader may not have collected them
// after its claim, because it could not reach the sender then. It is one-way.
type HistoryOffer struct {
	Part int      `msgpack:"pt"`
	Sums []uint64 `msgpack:"s"`
}

// HistoryStored tells a peer that all records of a partition up to an epoch are in the store, so the copies are no
// longer needed. It is one-way.
type HistoryStored struct {
	Part  int   `msgpack:"pt"`
	Epoch int64 `msgpack:"e"`
}

// GroupChanged tells a peer that the sender has joined or left the group of instances that lead the partitions of the
// history. It is one-way.
type GroupChanged struct {
	Stopping bool `msgpack:"s,omitempty"` // the sender stops
}

// PartitionClaims tells a peer which partitions of the history the sender leads. It is one-way and sent after each
// claim and on each new connection.
type PartitionClaims struct {
	Member string  `msgpack:"m"` // name of the instance in the group
	Claims []Claim `msgpack:"c"`
}

// Claim is a partition that an instance has claimed.
type Claim struct {
	Part  int   `msgpack:"pt"`
	Epoch int64 `msgpack:"e"`
}

// StoreViewGet asks a peer for the configuration and the endpoints that it uses, for an instance that cannot read the
// store. It states what the instance has; a field is 0 if it has none. The reply is StoreView.
type StoreViewGet struct {
	ConfigVersion  int64 `msgpack:"v,omitempty"`
	EndpointOffset int64 `msgpack:"o,omitempty"`
}

// StoreView is the reply to StoreViewGet. Its records have the encoding that they have in the store.
type StoreView struct {
	Config         []byte            `msgpack:"c"`           // empty if the peer has none that is newer than the requested one
	Age            time.Duration     `msgpack:"a"`           // time since the configuration was known to be the latest
	Endpoints      []KeyedRecord     `msgpack:"e"`           // empty if the peer has no list that is newer than the requested one
	Claims         []PartitionClaims `msgpack:"h"`           // known leaders of the partitions
	EndpointOffset int64             `msgpack:"o,omitempty"` // end of the topic in the store as of the list; 0: unknown
	// Proven reports that Age counts from when the read that confirmed the configuration was sent. It is set only where the
	// configuration has teams. The ages of earlier versions count from the answer, and prove nothing.
	Proven bool `msgpack:"pv,omitempty"`
}

// KeyedRecord is a record of the store with its key.
type KeyedRecord struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
}
