package record

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a format change that an older reader would misread instead of refusing.
func TestDecodeRefusesUnknownVersion(t *testing.T) {
	data, err := Encode(Batch{Session: "a.1", Seq: 1, Records: []Record{Claim{Slot: 3, Prev: 4, Session: "a.1"}}})
	must.NoError(t, err)
	got, err := Decode(data)
	must.NoError(t, err)
	must.Eq(t, Record(Claim{Slot: 3, Prev: 4, Session: "a.1"}), got.Records[0])
	data[bytes.IndexByte(data, 'v')+2] = Version + 1 // the value follows its key and a uint8 marker
	_, err = Decode(data)
	must.ErrorIs(t, err, ErrVersion)
}

// Guards against streamed answers that are too large for an append, and against a compressed record
// that takes all memory or comes back changed.
func TestLargeRecordsAreCompressed(t *testing.T) {
	body := bytes.Repeat([]byte(`data: {"choices":[{"index":0,"delta":{"content":"word"}}]}`+"\n\n"), 30000)
	must.Greater(t, MaxBatchBytes, len(body))
	turn := Turn{Key: "k", Body: body, Stream: true}
	data, err := Encode(Batch{Session: "a.1", Seq: 1, Records: []Record{turn}})
	must.NoError(t, err)
	must.Less(t, MaxBatchBytes/4, len(data))
	got, err := Decode(data)
	must.NoError(t, err)
	must.Eq(t, body, got.Records[0].(Turn).Body)
	turn.Body = make([]byte, maxInflated+1)
	data, err = Encode(Batch{Session: "a.1", Seq: 1, Records: []Record{turn}})
	must.NoError(t, err)
	_, err = Decode(data)
	must.ErrorContains(t, err, "decompress")
}
