package wire

import (
	"encoding/binary"
	"fmt"
)

// checkDepth scans a msgpack body without recursion. It fails if the body is not exactly one value or
// is nested deeper than MaxMessageDepth. The msgpack decoder skips unknown fields recursively, so an
// unchecked body of 16 MiB could exhaust the stack and crash the process.
func checkDepth(body []byte) error {
	var remaining [MaxMessageDepth + 1]uint64 // number of values still to read at each depth
	depth := 0
	remaining[0] = 1
	for pos := 0; ; {
		for depth > 0 && remaining[depth] == 0 {
			depth--
		}
		if remaining[depth] == 0 {
			return checkEnd(pos, len(body))
		}
		remaining[depth]--
		size, children, err := valueSize(body[pos:])
		if err != nil {
			return fmt.Errorf("byte %d: %w: %w", pos, ErrMalformed, err)
		}
		pos += size
		if children == 0 {
			continue
		}
		depth++
		if depth > MaxMessageDepth {
			return fmt.Errorf("byte %d: nesting above %d: %w", pos, MaxMessageDepth, ErrMalformed)
		}
		remaining[depth] = children
	}
}

func checkEnd(pos, length int) error {
	if pos != length {
		return fmt.Errorf("%d bytes after the message: %w", length-pos, ErrMalformed)
	}
	return nil
}

// valueSize returns the size in bytes of the first value of b without its children, and the number of
// its children.
func valueSize(b []byte) (size int, children uint64, err error) {
	if len(b) == 0 {
		return 0, 0, ErrTruncated
	}
	size, children, err = codeSize(b)
	if err != nil {
		return 0, 0, err
	}
	if size > len(b) || children > uint64(len(b)) {
		return 0, 0, ErrTruncated
	}
	return size, children, nil
}

// codeSize returns the size and the number of children of a value as given by its msgpack type byte and
// length field. The size can exceed len(b).
func codeSize(b []byte) (int, uint64, error) {
	switch c := b[0]; {
	case c <= 0x7f || c >= 0xe0: // fixint
		return 1, 0, nil
	case c <= 0x8f: // fixmap
		return 1, 2 * uint64(c&0x0f), nil
	case c <= 0x9f: // fixarray
		return 1, uint64(c & 0x0f), nil
	case c <= 0xbf: // fixstr
		return 1 + int(c&0x1f), 0, nil
	case c == 0xc0 || c == 0xc2 || c == 0xc3: // nil, false, true
		return 1, 0, nil
	case c >= 0xc4 && c <= 0xc6: // bin 8, 16, 32
		return prefixed(b, 1<<(c-0xc4), 0)
	case c >= 0xc7 && c <= 0xc9: // ext 8, 16, 32
		return prefixed(b, 1<<(c-0xc7), 1)
	case c >= 0xca && c <= 0xcb: // float 32, 64
		return 1 + 4<<(c-0xca), 0, nil
	case c >= 0xcc && c <= 0xcf: // uint 8 to 64
		return 1 + 1<<(c-0xcc), 0, nil
	case c >= 0xd0 && c <= 0xd3: // int 8 to 64
		return 1 + 1<<(c-0xd0), 0, nil
	case c >= 0xd4 && c <= 0xd8: // fixext 1 to 16
		return 2 + 1<<(c-0xd4), 0, nil
	case c >= 0xd9 && c <= 0xdb: // str 8, 16, 32
		return prefixed(b, 1<<(c-0xd9), 0)
	case c == 0xdc || c == 0xdd: // array 16, 32
		n, err := lengthField(b, 2<<(c-0xdc))
		return 1 + 2<<(c-0xdc), n, err
	case c == 0xde || c == 0xdf: // map 16, 32
		n, err := lengthField(b, 2<<(c-0xde))
		return 1 + 2<<(c-0xde), 2 * n, err
	default: // 0xc1, which the msgpack specification leaves unused
		return 0, 0, fmt.Errorf("type byte %#x", b[0])
	}
}

// prefixed returns the size of a value that has a length field of width bytes, then extra bytes, then its data.
func prefixed(b []byte, width, extra int) (int, uint64, error) {
	n, err := lengthField(b, width)
	return 1 + width + extra + int(n), 0, err
}

func lengthField(b []byte, width int) (uint64, error) {
	if len(b) < 1+width {
		return 0, ErrTruncated
	}
	var buf [8]byte
	copy(buf[8-width:], b[1:1+width])
	return binary.BigEndian.Uint64(buf[:]), nil
}
