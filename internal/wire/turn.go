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

// TurnConfirm waits until the reservation of a turn is in the store. The reply is Ack.
type TurnConfirm struct {
	Part int    `msgpack:"pt"`
	Turn string `msgpack:"id"`
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
}
