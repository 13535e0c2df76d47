package membership

import (
	"fmt"
	"testing"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/wire"
)

// BenchmarkRound measures the work of one instance in one heartbeat round, without network I/O: its own
// round, the rounds of all peers with their acknowledgements, encoding and decoding, and the choice and
// the check of the holder of every slot. %core is the share of one core at one round per 500 ms.
func BenchmarkRound(b *testing.B) {
	for _, peers := range []int{8, 12, 40} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			m := New(Config{Self: "own.1", Zone: "z0"})
			list := ListAnswer{Instances: []Instance{{Name: "own"}}}
			for i := range peers {
				list.Instances = append(list.Instances, Instance{Name: fmt.Sprintf("peer-%d", i)})
			}
			now := time.Hour
			for b.Loop() {
				now += HeartbeatInterval
				m.Step(now, list)
				runRound(m, now, peers)
			}
			share := float64(b.Elapsed()) / float64(b.N) / float64(HeartbeatInterval)
			b.ReportMetric(100*share, "%core")
		})
	}
}

func runRound(m *Members, now time.Duration, peers int) {
	own := roundTrip(m.StartRound(now, 7, nil)).(wire.Heartbeat)
	for i := range peers {
		from := id.Session(fmt.Sprintf("peer-%d.1", i))
		beat := roundTrip(wire.Heartbeat{Round: own.Round, ManifestVersion: 7, Slots: wire.SlotEpochs{{Slot: 1, Epoch: 2}}})
		m.Step(now, HeartbeatReceived{From: from, Zone: "z1", Heartbeat: beat.(wire.Heartbeat)})
		ack := roundTrip(m.Ack(now, own.Round)).(wire.HeartbeatAck)
		m.Step(now, HeartbeatAcked{From: from, Ack: ack})
	}
	for slot := range id.Slot(id.Slots) {
		holder := m.SlotHolder(now, slot)
		m.Dead(now, holder)
	}
}

func roundTrip(message wire.Message) wire.Message {
	data, _ := wire.Encode(wire.Envelope{Message: message})
	e, _ := wire.Decode(wire.Frame{Kind: message.Kind(), Body: data[6:]})
	return e.Message
}
