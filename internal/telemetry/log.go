// Package telemetry sets up the log and the metrics of an instance.
//
// The log has one key=value line per event. Its typed functions take identifiers, codes, numbers and
// errors, and nothing else; what does not look like an identifier or a code is replaced, and of an
// error only its class is written. So no text of a conversation reaches a line by them.
//
// The metrics have a bounded number of series, see MaxSeries.
package telemetry

import (
	"io"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
)

// maxTextBytes bounds a value or message in a line of code that uses logrus directly.
const maxTextBytes = 256

// fieldOrder lists the fields that a line may have, in their order. Other fields are dropped, so
// that a new one is added here on purpose.
var fieldOrder = []string{
	logrus.FieldKeyTime, logrus.FieldKeyLevel, logrus.FieldKeyMsg,
	"program", "call", "instance", "epoch", "reason",
	"attempt", "slot", "tenant", "duty", "pool", "endpoint", "zone", "version", "fence", "error",
	"service", "part", "route", "load", "events", "first", "waited", "turns", "reached", "members", "sends", "config",
	"count", "bytes", "took", "age", "status", "name", "peer", "stream", "offset", "http", "listen", "remote", "dialed", droppedField,
}

const droppedField = "dropped_fields"

// NewLogger returns a logger that writes guarded lines.
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

// formatter drops unknown fields and shortens texts, also of code that uses logrus directly.
type formatter struct{ text *logrus.TextFormatter }

// Format implements logrus.Formatter.
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	guarded := *e
	guarded.Message = shorten(e.Message)
	guarded.Data = make(logrus.Fields, len(e.Data))
	dropped := 0
	for key, value := range e.Data {
		if rank(key) < 0 {
			dropped++
			continue
		}
		if text, ok := value.(string); ok {
			value = shorten(text)
		}
		guarded.Data[key] = value
	}
	if dropped > 0 {
		guarded.Data[droppedField] = dropped
	}
	return f.text.Format(&guarded)
}

func shorten(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}
