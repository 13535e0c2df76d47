package fsm

import (
	"bytes"
	"testing"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// Guards against an encoded state that decodes and then makes Apply panic, or that changes when it is
// encoded and decoded again.
func FuzzDecodeState(f *testing.F) {
	p := NewProgram(open(record.Holder{Slot: 5, Epoch: 1}, pid))
	p.Apply(turn(record.Holder{Slot: 5, Epoch: 1}, pid, 1), start)
	data, err := EncodeState(p)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := DecodeState(data)
		if err != nil {
			return
		}
		c := p.Clone()
		for seq := range uint64(3) {
			c.Apply(turn(record.Holder{}, p.ID, seq), start)
			call := id.Call{Program: p.ID, Branch: id.MainBranch, Seq: seq}
			c.Apply(record.Outcome{Call: call, Key: "k"}, start)
			c.Apply(record.Settle{Call: call, Executed: record.ExecutedYes}, start)
		}
		c.applyTakeover()
		again, err := EncodeState(p)
		if err != nil {
			t.Fatal(err)
		}
		if q, err := DecodeState(again); err != nil || q.Rev != p.Rev || len(q.Outcomes) != len(p.Outcomes) {
			t.Fatalf("state changed when it was encoded and decoded again: %v", err)
		}
	})
}

// Guards against an encoded batch that decodes and then makes Apply panic, or whose encoding changes when
// it is decoded and encoded again.
func FuzzDecodeBatch(f *testing.F) {
	h := record.Holder{Slot: 5, Epoch: 1}
	w := &writer{session: "a.1"}
	for _, recs := range [][]record.Record{
		{record.Claim{Slot: 5, Session: "a.1"}, open(h, pid), turn(h, pid, 1)},
		{record.Snapshot{Holder: h, Program: pid, State: []byte{1}, Part: 1, Parts: 2}, record.End{Holder: h, Program: pid}},
		{record.Publish{Expected: 1, Manifest: []byte("{}")}, record.ManifestRefresh{Version: 1, ReadTo: 3}},
	} {
		data, err := record.Encode(w.batch(0, recs...))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := record.Decode(data)
		if err != nil {
			return
		}
		for _, first := range []uint64{0, 1} {
			NewPrograms(retention, first).Apply(first, b)
			NewConfigs(retention, first).Apply(first, b)
		}
		again, err := record.Encode(b)
		if err != nil {
			t.Fatal(err)
		}
		c, err := record.Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		if third, err := record.Encode(c); err != nil || !bytes.Equal(third, again) {
			t.Fatalf("encoding of the batch changed when it was decoded and encoded again: %v", err)
		}
	})
}
