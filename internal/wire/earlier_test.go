package wire

import (
	"bytes"
	"io"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// earlierFrames holds one frame of each kind and shape of message as 6337b23 writes them.
const earlierFrames = "testdata/frames-6337b23.bin"

// addedFields are the fields that messages have got since. Instances of 6337b23 ignore them and do not send them.
var addedFields = map[Kind][]string{
	KindTurnEnd:        {".e.cf"},
	KindGroupChanged:   {".s"},
	KindLoadReport:     {".lv", ".lv.id", ".lv.s", ".t", ".t.v", ".t.n", ".t.m", ".t.w", ".h"},
	KindRequestCrashes: {".po", ".c.b"},
	KindStoreView:      {".pv"},
}

// addedKinds are the fields of messages whose kinds were added since. They are sent only to peers whose Hello states these
// kinds, of which the oldest is the first version with teams.
var addedKinds = map[Kind][]string{
	KindQuotaGet:   {".t", ".n", ".x", ".c", ".c.l", ".c.n", ".s", ".u", ".i"},
	KindQuotaLease: {".l", ".g", ".r", ".f", ".b", ".o", ".i", ".m", ".k"},
}

// content is the message of a frame without its Go type.
func content(t *testing.T, f Frame) any {
	t.Helper()
	var envelope []any
	must.NoError(t, msgpack.Unmarshal(f.Body, &envelope))
	must.Len(t, envelopeFields, envelope)
	return envelope[envelopeFields-1]
}

func readEarlierFrames(t *testing.T) []Frame {
	t.Helper()
	data, err := os.ReadFile(earlierFrames)
	must.NoError(t, err)
	var frames []Frame
	for r := bytes.NewReader(data); ; {
		f, err := ReadFrame(r, MaxFrameBytes)
		if err == io.EOF {
			return frames
		}
		must.NoError(t, err)
		frames = append(frames, f)
	}
}

// includes reports whether a message has all that another one has.
func includes(all, part any) bool {
	switch part := part.(type) {
	case map[string]any:
		all, ok := all.(map[string]any)
		for key, value := range part {
			ok = ok && includes(all[key], value)
		}
		return ok
	case []any:
		all, ok := all.([]any)
		return ok && slices.EqualFunc(all, part, includes)
	default:
		return reflect.DeepEqual(all, part)
	}
}

// addFields adds the names of all fields of a message, and of what it contains, to a set.
func addFields(set map[string]bool, prefix string, message any) {
	switch message := message.(type) {
	case map[string]any:
		for key, value := range message {
			set[prefix+"."+key] = true
			addFields(set, prefix+"."+key, value)
		}
	case []any:
		for _, value := range message {
			addFields(set, prefix, value)
		}
	}
}

// Guards against messages of instances of the version before that are read in part or with another meaning.
func TestMessagesOfTheVersionBeforeAreRead(t *testing.T) {
	for _, f := range readEarlierFrames(t) {
		e, err := Decode(f)
		must.NoError(t, err, must.Sprint(f.Kind))
		data, err := Encode(e)
		must.NoError(t, err)
		again, err := ReadFrame(bytes.NewReader(data), MaxFrameBytes)
		must.NoError(t, err)
		must.True(t, includes(content(t, again), content(t, f)), must.Sprintf("%s: %v became %v", f.Kind, content(t, f), content(t, again)))
	}
}

// Guards against a field that instances of the version before expect and no longer get, or get with another type or name, and
// against a new one that addedFields does not state.
func TestMessagesForTheVersionBeforeHaveItsFields(t *testing.T) {
	earlier, now := make(map[Kind]map[string]bool), make(map[Kind]map[string]bool)
	collect := func(fields map[Kind]map[string]bool, f Frame) {
		if fields[f.Kind] == nil {
			fields[f.Kind] = make(map[string]bool)
		}
		addFields(fields[f.Kind], "", content(t, f))
	}
	for _, f := range readEarlierFrames(t) {
		collect(earlier, f)
	}
	for _, m := range samples() {
		data, err := Encode(Envelope{Message: m})
		must.NoError(t, err)
		f, err := ReadFrame(bytes.NewReader(data), MaxFrameBytes)
		must.NoError(t, err)
		collect(now, f)
	}
	for kind, fields := range now {
		if names, ok := addedKinds[kind]; ok {
			must.Eq(t, slices.Sorted(slices.Values(names)), slices.Sorted(maps.Keys(fields)), must.Sprint(kind))
			continue
		}
		want := maps.Clone(earlier[kind])
		must.NotNil(t, want, must.Sprintf("%s is new: state it, and the oldest version that knows it", kind))
		for _, name := range addedFields[kind] {
			want[name] = true
		}
		must.Eq(t, slices.Sorted(maps.Keys(want)), slices.Sorted(maps.Keys(fields)), must.Sprint(kind))
	}
}

// An instance of the version before that gets fields which it does not know ignores them, as this one does.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	for _, f := range readEarlierFrames(t) {
		message, ok := content(t, f).(map[string]any)
		if !ok {
			continue
		}
		want, err := Decode(f)
		must.NoError(t, err)
		message["a field of a later version"] = []any{1, map[string]any{"x": "y"}}
		body, err := msgpack.Marshal([]any{want.Exchange, want.Flags, message})
		must.NoError(t, err)
		got, err := Decode(Frame{Kind: f.Kind, Body: body})
		must.NoError(t, err, must.Sprint(f.Kind))
		must.Eq(t, want, got)
	}
}
