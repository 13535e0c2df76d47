package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/wire"
)

func heartbeat(slots, pools int) wire.Heartbeat {
	h := wire.Heartbeat{Round: 1e6, ManifestVersion: 1e5}
	for s := range slots {
		h.Slots = append(h.Slots, wire.SlotEpoch{Slot: id.Slot(s % id.Slots), Epoch: 300})
	}
	for p := range pools {
		h.Running = append(h.Running, wire.PoolCount{Pool: fmt.Sprintf("model-%02d", p), Calls: 30})
	}
	return h
}

func heartbeatAck(heard int) wire.HeartbeatAck {
	a := wire.HeartbeatAck{Round: 1e6, Uptime: time.Hour}
	for p := range heard {
		a.Heard = append(a.Heard, wire.Heard{Peer: uint32(p) * 2654435761, AgeMS: 400})
	}
	return a
}

func frameBytes(m wire.Message) float64 {
	data, err := wire.Encode(wire.Envelope{Message: m})
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

func messageProbes() []probe {
	return []probe{
		{
			name: "heartbeat: bytes per slot held", xUnit: "slot", yUnit: "B", loads: []int{0, 5, 16, 64},
			run: func(n int) float64 { return frameBytes(heartbeat(n, 1)) },
		},
		{
			name: "heartbeat: bytes of the answer per peer heard", xUnit: "peer", yUnit: "B", loads: []int{0, 9, 40, 409},
			run: func(n int) float64 { return frameBytes(heartbeatAck(n)) },
		},
		{
			name: "dispatch: bytes of one call's messages", xUnit: "call", yUnit: "B", loads: []int{1, 10, 100},
			run: func(n int) float64 { return float64(n) * dispatchBytes() },
		},
		{
			name: "dispatch: time to encode and decode one call's messages", xUnit: "call", yUnit: "us",
			loads: []int{500, 2000, 8000},
			run: func(n int) float64 {
				return secondsOf(func() {
					for range n {
						codecRoundTrip()
					}
				}) * 1e6
			},
		},
		{
			name: "peer: memory of a connection, both ends", xUnit: "connection", yUnit: "B",
			loads: []int{8, 16, 32, 64},
			run:   connectionBytes,
		},
	}
}

func probeRequest() sched.Request {
	return sched.Request{
		ID:    id.NewAttempt(id.Call{Program: programID(7), Branch: id.MainBranch, Seq: 40}, 12, 1),
		Owner: session, Program: programID(7), Branch: id.MainBranch, Team: "tenant-1234", Duty: "drafting",
		Zone: "zone-a", PromptTokens: 120_000, SharedTokens: 119_000, MaxTokens: 800, LastEndpoint: "engine-007",
		Attained: time.Minute, Calls: 39, ProgramAge: 10 * time.Minute, CallTimeLimit: time.Minute,
	}
}

func dispatchMessages() []wire.Message {
	r := probeRequest()
	return []wire.Message{
		wire.Submit{Pool: "model-01", Request: r},
		wire.Grant{Pool: "model-01", ID: r.ID, Endpoint: "engine-007", Reason: "warm_prefix"},
		wire.Done{Pool: "model-01", Done: sched.Done{
			ID: r.ID, Endpoint: "engine-007", Result: sched.ResultOK, PromptTokens: 120_000, CachedTokens: 119_000,
			OutputTokens: 300, FirstToken: 400 * time.Millisecond, Total: 9 * time.Second,
		}},
	}
}

func dispatchBytes() float64 {
	var total float64
	for _, m := range dispatchMessages() {
		total += frameBytes(m)
	}
	return total
}

func codecRoundTrip() {
	for _, m := range dispatchMessages() {
		data, err := wire.Encode(wire.Envelope{Message: m})
		if err != nil {
			panic(err)
		}
		f, err := wire.ReadFrame(bytes.NewReader(data), wire.MaxFrameBytes)
		if err != nil {
			panic(err)
		}
		if _, err := wire.Decode(f); err != nil {
			panic(err)
		}
	}
}

// discardHandler is a peer handler that ignores all messages and events.
type discardHandler struct{}

func (discardHandler) Connected(peer.Remote)             {}
func (discardHandler) Disconnected(peer.Remote, error)   {}
func (discardHandler) Receive(peer.Remote, wire.Message) {}
func (discardHandler) Serve(context.Context, peer.Remote, wire.Message, *peer.Replier) error {
	return nil
}

// connectionBytes connects one node to n others on loopback and returns the growth of heap and stacks
// in bytes, including the nodes themselves.
func connectionBytes(n int) float64 {
	var stop func()
	bytes := heapOf(func() any {
		var nodes []*peer.Node
		nodes, stop = startNodes(n)
		return nodes
	})
	stop()
	return bytes
}

func startNodes(n int) ([]*peer.Node, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	log := logrus.New()
	log.SetOutput(io.Discard)
	keys, err := peer.NewKeyring(bytes.Repeat([]byte{7}, 32))
	if err != nil {
		panic(err)
	}
	var nodes []*peer.Node
	var peers []peer.Peer
	done := make(chan struct{}, n+1)
	for i := range n + 1 {
		s := id.Session(fmt.Sprintf("i%03d.a", i))
		node, err := peer.New(peer.Config{Session: s, Zone: "a", Handler: discardHandler{}, Log: log, Keys: keys})
		if err != nil {
			panic(err)
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		go func() {
			_ = node.Serve(ctx, l) // ends with the context
			done <- struct{}{}
		}()
		nodes = append(nodes, node)
		if i > 0 {
			peers = append(peers, peer.Peer{Instance: s.Instance(), Addr: l.Addr().String()})
		}
	}
	nodes[0].SetPeers(peers)
	for len(nodes[0].Connected()) < n {
		runtime.Gosched()
		time.Sleep(time.Millisecond)
	}
	return nodes, func() {
		cancel()
		for range n + 1 {
			<-done
		}
	}
}
