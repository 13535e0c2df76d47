package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Canonical returns the JSON form that is published and hashed: no white space, fields sorted by
// name, durations as text, and an empty list for a nil slice. Parsing it gives a manifest with the
// same canonical form.
func (m *Manifest) Canonical() []byte {
	return appendCanonical(nil, reflect.ValueOf(m).Elem())
}

// Digest returns the hex SHA-256 of the canonical JSON.
func (m *Manifest) Digest() string { return DigestOf(m.Canonical()) }

// DigestOf returns the hex SHA-256 of canonical JSON.
func DigestOf(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// FromLog decodes a manifest that was published to the log and verifies its digest. It does not run
// Check, so that a published manifest stays valid for a newer binary with stricter checks.
func FromLog(canonical []byte, digest string) (*Manifest, error) {
	if got := DigestOf(canonical); got != digest {
		return nil, fmt.Errorf("manifest digest is %s, want %s", got, digest)
	}
	return Decode(canonical)
}

// MarshalJSON implements json.Marshaler and returns the canonical form.
func (m Manifest) MarshalJSON() ([]byte, error) { return m.Canonical(), nil }

// UnmarshalJSON implements json.Unmarshaler with the strict rules of Decode.
func (m *Manifest) UnmarshalJSON(data []byte) error {
	decoded, err := Decode(data)
	if err != nil {
		return err
	}
	*m = *decoded
	return nil
}

func appendCanonical(dst []byte, v reflect.Value) []byte {
	if v.Type() == durationType {
		return appendJSON(dst, time.Duration(v.Int()).String())
	}
	switch v.Kind() {
	case reflect.Struct:
		return appendFields(dst, v)
	case reflect.Slice:
		dst = append(dst, '[')
		for i := range v.Len() {
			if i > 0 {
				dst = append(dst, ',')
			}
			dst = appendCanonical(dst, v.Index(i))
		}
		return append(dst, ']')
	case reflect.Float64:
		if f := v.Float(); math.IsNaN(f) || math.IsInf(f, 0) {
			return append(dst, "null"...) // not valid in JSON; Check reports such a value
		}
	}
	return appendJSON(dst, v.Interface())
}

func appendFields(dst []byte, v reflect.Value) []byte {
	type field struct {
		name  string
		value reflect.Value
	}
	var fields []field
	for i := range v.NumField() {
		name, options, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if options == "omitempty" && isEmpty(v.Field(i)) {
			continue
		}
		fields = append(fields, field{name: name, value: v.Field(i)})
	}
	slices.SortFunc(fields, func(a, b field) int { return strings.Compare(a.name, b.name) })
	dst = append(dst, '{')
	for i, f := range fields {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = appendJSON(dst, f.name)
		dst = append(dst, ':')
		dst = appendCanonical(dst, f.value)
	}
	return append(dst, '}')
}

// isEmpty tells whether omitempty drops a value. Unlike in encoding/json, a struct whose fields are all
// empty is dropped too.
func isEmpty(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Slice:
		return v.Len() == 0
	case reflect.Struct:
		for i := range v.NumField() {
			if !isEmpty(v.Field(i)) {
				return false
			}
		}
		return true
	default:
		return v.IsZero()
	}
}

// appendJSON appends the JSON encoding of a scalar without the HTML escaping of json.Marshal.
func appendJSON(dst []byte, v any) []byte {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		panic(fmt.Sprintf("manifest: encode %T: %v", v, err)) // scalars always encode
	}
	return append(dst, bytes.TrimRight(buf.Bytes(), "\n")...)
}
