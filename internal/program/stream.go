package program

import (
	"bytes"
	"slices"
)

// maxEarlyChunks bounds the chunks that are kept while bytes before them are missing. Chunks beyond it
// are dropped and fetched again by a resume.
const maxEarlyChunks = 64

// endMarker is the last event of a stream of chat completions.
var endMarker = []byte("data: [DONE]")

type chunk struct {
	offset int64
	data   []byte
}

// streamBuffer puts the bytes of a stream in order. Bytes that were accepted never change.
type streamBuffer struct {
	data  []byte
	early []chunk
	shown bool // bytes were sent to a caller
}

func (s *streamBuffer) size() int64 { return int64(len(s.data)) }

// add takes a chunk and tells whether the buffer grew.
func (s *streamBuffer) add(offset int64, data []byte) bool {
	if offset < 0 || offset+int64(len(data)) <= s.size() {
		return false
	}
	if offset > s.size() {
		if len(s.early) < maxEarlyChunks {
			s.early = append(s.early, chunk{offset: offset, data: bytes.Clone(data)})
		}
		return false
	}
	s.data = append(s.data, data[s.size()-offset:]...)
	s.mergeEarly()
	return true
}

func (s *streamBuffer) mergeEarly() {
	if len(s.early) == 0 {
		return
	}
	slices.SortFunc(s.early, func(a, b chunk) int { return int(a.offset - b.offset) })
	for len(s.early) > 0 && s.early[0].offset <= s.size() {
		e := s.early[0]
		s.early = s.early[1:]
		if e.offset+int64(len(e.data)) > s.size() {
			s.data = append(s.data, e.data[s.size()-e.offset:]...)
		}
	}
}

// beforeEnd is the number of bytes that come certainly before the end marker.
func (s *streamBuffer) beforeEnd() int64 {
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
