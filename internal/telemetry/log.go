// Package telemetry sets up the log and the metrics of an instance.
//
// The log has one line of key=value pairs per event. An EventLog writes to a logger of NewLogger and takes
// only identifiers, codes, numbers and errors as fields. Text that does not have the form of an identifier
// or a code is replaced, and of an error only its class is written, so that no text of a conversation gets
// into the log. A BoundedWriter keeps a slow reader of the log from blocking the instance.
//
// Metrics holds the metrics of an instance. The number of its series is bounded by MaxSeries.
package telemetry

import (
	"io"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
)

// maxTextBytes limits each value and message, for code that calls logrus directly.
const maxTextBytes = 256

// fieldOrder lists the allowed fields of a line in output order. Other fields are dropped, so that each new
// field has to be allowed here explicitly.
var fieldOrder = []string{
	logrus.FieldKeyTime, logrus.FieldKeyLevel, logrus.FieldKeyMsg,
	"program", "call", "instance", "epoch", "reason",
	"attempt", "slot", "tenant", "team", "duty", "pool", "endpoint", "zone", "version", "fence", "error",
	"service", "part", "route", "load", "events", "first", "waited", "turns", "reached", "members", "sends", "config", "rank", "waiting", "slack", "retry", "last", "limit", "digest",
	"count", "bytes", "took", "age", "status", "name", "peer", "stream", "offset", "http", "listen", "remote", "dialed", droppedField,
}

// droppedField is the field with the number of fields dropped from a line.
const droppedField = "dropped_fields"

// NewLogger returns a logger that drops unknown fields and truncates long texts.
func NewLogger(w io.Writer, level logrus.Level) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&formatter{text: &logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		SortingFunc: func(keys []string) {
			slices.SortFunc(keys, func(a, b string) int { return rank(a) - rank(b) })
		},
	}})
	return l
}

func rank(key string) int { return slices.Index(fieldOrder, key) }

// formatter drops unknown fields and truncates long texts, also for code that calls logrus directly.
type formatter struct{ text *logrus.TextFormatter }

// Format implements logrus.Formatter.
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	sanitized := *e
	sanitized.Message = shorten(e.Message)
	sanitized.Data = make(logrus.Fields, len(e.Data))
	dropped := 0
	for key, value := range e.Data {
		if rank(key) < 0 {
			dropped++
			continue
		}
		if text, ok := value.(string); ok {
			value = shorten(text)
		}
		sanitized.Data[key] = value
	}
	if dropped > 0 {
		sanitized.Data[droppedField] = dropped
	}
	return f.text.Format(&sanitized)
}

func shorten(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}
