package record

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an older reader that misinterprets a newer batch format instead of rejecting it.
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
