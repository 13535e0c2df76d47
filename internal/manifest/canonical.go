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

// Canonical returns the JSON that is published and digested: no white space, fields in the order of
// their names, durations as text, an empty list for a list that is missing. Parse(Canonical(m))
// gives a manifest with the same canonical form.
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

// FromLog reads a published manifest and compares its digest. Check is not repeated, so a manifest
// stays in force when a newer binary checks more.
func FromLog(canonical []byte, digest string) (*Manifest, error) {
	if got := DigestOf(canonical); got != digest {
		return nil, fmt.Errorf("manifest digest is %s, want %s", got, digest)
	}
	return Decode(canonical)
}

// MarshalJSON implements json.Marshaler with the canonical form.
func (m Manifest) MarshalJSON() ([]byte, error) { return m.Canonical(), nil }

// UnmarshalJSON implements json.Unmarshaler by Decode.
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
			return append(dst, "null"...) // Check refuses such a manifest
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

// isEmpty also holds for a struct whose fields are all empty.
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

// appendJSON appends a scalar without the HTML escapes of json.Marshal.
func appendJSON(dst []byte, v any) []byte {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		panic(fmt.Sprintf("manifest: encode %T: %v", v, err)) // scalars always encode
	}
	return append(dst, bytes.TrimRight(buf.Bytes(), "\n")...)
}
