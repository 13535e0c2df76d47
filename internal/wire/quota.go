package wire

import "time"

// QuotaGet asks the issuer of a team's quota for a lease of requests. Its lists by class are in the order of quota.Class;
// missing values are 0. The reply is QuotaLease. Names are short, as one is sent for most requests of small teams.
type QuotaGet struct {
	Team      string        `msgpack:"t"`
	Need      []int         `msgpack:"n,omitempty"` // requests that wait, by class
	Extra     int           `msgpack:"x,omitempty"` // further requests that are expected within the life of the lease
	Credits   []QuotaCredit `msgpack:"c,omitempty"`
	Served    []uint64      `msgpack:"s,omitempty"` // hash of the program of each request sent since the last QuotaGet
	Unknown   []uint64      `msgpack:"u,omitempty"` // hashes of the programs of waiting first turns
	Instances int           `msgpack:"i,omitempty"` // that the sender knows
}

// QuotaCredit gives back unused requests of a lease.
type QuotaCredit struct {
	Lease uint64 `msgpack:"l"`
	N     int    `msgpack:"n"`
}

// QuotaLease is the reply to QuotaGet. The life of the lease begins when the QuotaGet was sent.
type QuotaLease struct {
	Lease      uint64          `msgpack:"l,omitempty"`
	Granted    []int           `msgpack:"g,omitempty"` // requests, by class
	RetryAfter []time.Duration `msgpack:"r,omitempty"` // when those that were not granted may be, by class
	Fresh      bool            `msgpack:"f,omitempty"` // the issuer has just started without tokens
	Begun      []uint64        `msgpack:"b,omitempty"` // programs of Unknown that have begun
	Loops      []uint64        `msgpack:"o,omitempty"` // programs that have made many times the usual number of requests
	Known      int             `msgpack:"i,omitempty"` // instances that the issuer knows itself
	ToldOf     int             `msgpack:"m,omitempty"` // instances in all, if it was told of more
	Rank       int             `msgpack:"k,omitempty"` // of the receiver among them
}
