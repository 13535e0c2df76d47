package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"gopkg.in/yaml.v3"
)

// maxDepth limits the nesting of a JSON manifest. The deepest field of a valid one is five levels down.
const maxDepth = 32

// jsonReader reads JSON into the node tree that the YAML parser builds, with line numbers, so that one
// decoder handles both formats.
type jsonReader struct {
	data       []byte
	dec        *json.Decoder
	line       int   // line of the byte at lineOffset
	lineOffset int64 // newlines are counted up to here
}

func parseJSON(data []byte) (*yaml.Node, error) {
	r := &jsonReader{data: data, dec: json.NewDecoder(bytes.NewReader(data)), line: 1}
	r.dec.UseNumber()
	root, err := r.value(0)
	if err != nil {
		return nil, r.syntaxFinding(err)
	}
	if _, err := r.dec.Token(); !errors.Is(err, io.EOF) {
		return nil, Findings{{Line: r.currentLine(), Problem: "not JSON: text after the manifest"}}
	}
	return root, nil
}

func (r *jsonReader) syntaxFinding(err error) Findings {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("ends too early")
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(r.data[:min(syntax.Offset, int64(len(r.data)))], []byte("\n"))
		return Findings{{Line: line, Problem: "not JSON: " + syntax.Error()}}
	}
	return Findings{{Line: r.currentLine(), Problem: "not JSON: " + err.Error()}}
}

// currentLine returns the line at which the last token ended.
func (r *jsonReader) currentLine() int {
	offset := r.dec.InputOffset()
	r.line += bytes.Count(r.data[r.lineOffset:offset], []byte("\n"))
	r.lineOffset = offset
	return r.line
}

func (r *jsonReader) value(depth int) (*yaml.Node, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nesting above %d", maxDepth)
	}
	token, err := r.dec.Token()
	if err != nil {
		return nil, err
	}
	n := &yaml.Node{Kind: yaml.ScalarNode, Line: r.currentLine()}
	switch t := token.(type) {
	case json.Delim:
		return n, r.children(n, t, depth)
	case string:
		n.Tag, n.Value = "!!str", t
	case json.Number:
		n.Tag, n.Value = "!!int", t.String()
		if strings.ContainsAny(n.Value, ".eE") {
			n.Tag = "!!float"
		}
	case bool:
		n.Tag, n.Value = "!!bool", fmt.Sprint(t)
	default:
		n.Tag, n.Value = "!!null", "null"
	}
	return n, nil
}

func (r *jsonReader) children(n *yaml.Node, open json.Delim, depth int) error {
	n.Kind, n.Tag = yaml.MappingNode, "!!map"
	if open == '[' {
		n.Kind, n.Tag = yaml.SequenceNode, "!!seq"
	}
	for r.dec.More() {
		child, err := r.value(depth + 1)
		if err != nil {
			return err
		}
		n.Content = append(n.Content, child)
	}
	_, err := r.dec.Token() // the closing delimiter
	return err
}
