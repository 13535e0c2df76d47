package program

import (
	"bytes"
	"slices"
)

// maxOutOfOrderChunks limits the chunks that are buffered while bytes before them are missing. Further
// chunks are dropped and fetched again when the stream is resumed.
const maxOutOfOrderChunks = 64

// endMarker is the start of the last event of a stream of a chat completion.
var endMarker = []byte("data: [DONE]")

type chunk struct {
	offset int64
	data   []byte
}

// streamBuffer reassembles a stream from chunks that may arrive out of order or more than once. Bytes in
// data never change.
type streamBuffer struct {
	data       []byte
	outOfOrder []chunk
	delivered  bool // bytes were sent to a caller
}

func (s *streamBuffer) size() int64 { return int64(len(s.data)) }

// add adds a chunk and reports whether data grew.
func (s *streamBuffer) add(offset int64, data []byte) bool {
	if offset < 0 || offset+int64(len(data)) <= s.size() {
		return false
	}
	if offset > s.size() {
		if len(s.outOfOrder) < maxOutOfOrderChunks {
			s.outOfOrder = append(s.outOfOrder, chunk{offset: offset, data: bytes.Clone(data)})
		}
		return false
	}
	s.data = append(s.data, data[s.size()-offset:]...)
	s.mergeOutOfOrder()
	return true
}

func (s *streamBuffer) mergeOutOfOrder() {
	if len(s.outOfOrder) == 0 {
		return
	}
	slices.SortFunc(s.outOfOrder, func(a, b chunk) int { return int(a.offset - b.offset) })
	for len(s.outOfOrder) > 0 && s.outOfOrder[0].offset <= s.size() {
		e := s.outOfOrder[0]
		s.outOfOrder = s.outOfOrder[1:]
		if e.offset+int64(len(e.data)) > s.size() {
			s.data = append(s.data, e.data[s.size()-e.offset:]...)
		}
	}
}

// sizeBeforeEnd returns the number of bytes that certainly precede the end marker. A tail that may be the
// start of the marker is not counted.
func (s *streamBuffer) sizeBeforeEnd() int64 {
	tail := max(0, len(s.data)-4*len(endMarker))
	if i := bytes.LastIndex(s.data[tail:], endMarker); i >= 0 {
		return int64(tail + i)
	}
	for n := min(len(endMarker)-1, len(s.data)); n > 0; n-- {
		if bytes.HasSuffix(s.data, endMarker[:n]) {
			return int64(len(s.data) - n)
		}
	}
	return s.size()
}
