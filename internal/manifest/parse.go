package manifest

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"

	"ragwortstile/internal/record"
)

// MaxBytes is the largest size of the canonical JSON, which must fit in one append to the log.
const MaxBytes = record.MaxBatchBytes - 4<<10

// maxSourceBytes is the largest size of the source text, which can have comments and indentation.
const maxSourceBytes = 4 * MaxBytes

// Parse decodes a manifest from YAML or JSON and checks it. Text that starts with "{" is read as JSON.
// The error is of type Findings and holds all decoding and checking errors with their paths and lines.
func Parse(data []byte) (*Manifest, error) {
	d, err := decodeText(data)
	if err != nil {
		return nil, err
	}
	findings := append(d.findings, d.withLines(d.manifest.Check())...)
	findings.sort()
	if err := findings.err(); err != nil {
		return nil, err
	}
	return d.manifest, nil
}

// Decode decodes a manifest from YAML or JSON without running Check. It rejects unknown and repeated
// fields and wrong types. The error is of type Findings.
func Decode(data []byte) (*Manifest, error) {
	d, err := decodeText(data)
	if err != nil {
		return nil, err
	}
	d.findings.sort()
	if err := d.findings.err(); err != nil {
		return nil, err
	}
	return d.manifest, nil
}

// decodeText returns an error, of type Findings, only if the text is too large or has invalid syntax.
// Errors of single fields are collected in the decoder.
func decodeText(data []byte) (*decoder, error) {
	if len(data) > maxSourceBytes {
		return nil, Findings{{Problem: fmt.Sprintf("has %d bytes, want at most %d", len(data), maxSourceBytes)}}
	}
	var root *yaml.Node
	var err error
	if bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("{")) {
		root, err = parseJSON(data)
	} else {
		root, err = parseYAML(data)
	}
	if err != nil {
		return nil, err
	}
	d := &decoder{manifest: &Manifest{}, lines: make(map[string]int)}
	d.decodeRoot(root)
	return d, nil
}

func parseYAML(data []byte) (*yaml.Node, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc, second yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return nil, Findings{{Problem: "is empty"}}
	}
	if err != nil {
		return nil, yamlFinding(err)
	}
	if err := dec.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, Findings{{Line: second.Line, Problem: "has more than one document"}}
	}
	return doc.Content[0], nil
}

var yamlLine = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

func yamlFinding(err error) Findings {
	if m := yamlLine.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1]) // the pattern allows digits only
		return Findings{{Line: line, Problem: "not YAML: " + m[2]}}
	}
	return Findings{{Problem: "not YAML: " + strings.TrimPrefix(err.Error(), "yaml: ")}}
}
