package telemetry

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"reflect"
	"regexp"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// Event is the message of a line, a code such as "slot_claimed".
type Event string

// Field is one key and value of a line. Only the functions of this package make fields.
type Field struct {
	key   string
	value any
}

var (
	codePattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,63}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
)

// code returns a text that looks like a code, or a mark that it was withheld.
func code(text string) string {
	if !codePattern.MatchString(text) {
		return "withheld"
	}
	return text
}

// name returns a text that looks like an identifier. Another text, which a caller may have chosen,
// is replaced by a hash, so that lines about the same thing can still be matched.
func name(text string) string {
	if text == "" || namePattern.MatchString(text) {
		return text
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // hash.Hash never fails
	return fmt.Sprintf("withheld-%08x", h.Sum32())
}

// Program is the field "program".
func Program(p id.Program) Field { return Field{"program", name(string(p))} }

// Call is the field "call": branch and sequence number, with the program as its own field.
func Call(c id.Call) Field { return Field{"call", fmt.Sprintf("%s/%d", name(c.Branch), c.Seq)} }

// Attempt is the field "attempt".
func Attempt(a id.Attempt) Field { return Field{"attempt", name(string(a))} }

// Instance is the field "instance".
func Instance(s id.Session) Field { return Field{"instance", name(string(s))} }

// Peer is the field "peer": another instance than the one that writes the line.
func Peer(s id.Session) Field { return Field{"peer", name(string(s))} }

// Stream is the field "stream" of the platform's log.
func Stream(n string) Field { return Field{"stream", name(n)} }

// Offset is the field "offset" in a stream.
func Offset(n uint64) Field { return Field{"offset", n} }

// HTTP is the field "http", the address of the callers' front.
func HTTP(addr string) Field { return Field{"http", name(addr)} }

// Listen is the field "listen", the address of the peer protocol.
func Listen(addr string) Field { return Field{"listen", name(addr)} }

// Name is the field "name" of a setting.
func Name(n string) Field { return Field{"name", name(n)} }

// Epoch is the field "epoch".
func Epoch(e id.Epoch) Field { return Field{"epoch", uint64(e)} }

// Slot is the field "slot".
func Slot(s id.Slot) Field { return Field{"slot", int(s)} }

// Reason is the field "reason", a code.
func Reason(r sched.Reason) Field { return Field{"reason", code(string(r))} }

// Team is the field "team", a name of the manifest.
func Team(n string) Field { return Field{"tenant", name(n)} }

// Duty is the field "duty", a name of the manifest.
func Duty(n string) Field { return Field{"duty", name(n)} }

// Pool is the field "pool", a name of the manifest.
func Pool(n string) Field { return Field{"pool", name(n)} }

// Endpoint is the field "endpoint", a name of the manifest.
func Endpoint(n string) Field { return Field{"endpoint", name(n)} }

// Version is the field "version" of the manifest.
func Version(v uint64) Field { return Field{"version", v} }

// Fence is the field "fence" of an order.
func Fence(s fmt.Stringer) Field { return Field{"fence", name(s.String())} }

// Count is the field "count".
func Count(n int) Field { return Field{"count", n} }

// Bytes is the field "bytes".
func Bytes(n int) Field { return Field{"bytes", n} }

// Status is the field "status", an HTTP status.
func Status(n int) Field { return Field{"status", n} }

// Took is the field "took".
func Took(d time.Duration) Field { return Field{"took", d.String()} }

// Age is the field "age".
func Age(d time.Duration) Field { return Field{"age", d.String()} }

// LogCoder is implemented by errors that have a code for the log.
type LogCoder interface{ LogCode() string }

// Err is the field "error". It has the class of the error and not its text, because the text of a
// parse error can quote its input.
func Err(err error) Field { return Field{"error", errorClass(err)} }

func errorClass(err error) string {
	var coder LogCoder
	var errno syscall.Errno
	var netErr net.Error
	switch {
	case err == nil:
		return "none"
	case errors.As(err, &coder):
		return code(coder.LogCode())
	case errors.Is(err, context.Canceled):
		return "canceled"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return "deadline_exceeded"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "end_of_stream"
	case errors.Is(err, net.ErrClosed):
		return "closed"
	case errors.As(err, &errno):
		return fmt.Sprintf("errno_%d", int(errno))
	case errors.As(err, &netErr) && netErr.Timeout():
		return "timeout"
	}
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return reflect.TypeOf(err).String()
}

// EventLog writes typed events.
type EventLog struct {
	out  *logrus.Logger
	base []Field
}

// NewEventLog returns an EventLog that writes to a logger of NewLogger.
func NewEventLog(l *logrus.Logger) EventLog { return EventLog{out: l} }

// With returns a log whose lines all have some fields.
func (l EventLog) With(fields ...Field) EventLog {
	return EventLog{out: l.out, base: append(l.base[:len(l.base):len(l.base)], fields...)}
}

// Debug writes an event that helps to find a fault.
func (l EventLog) Debug(e Event, fields ...Field) { l.write(logrus.DebugLevel, e, fields) }

// Info writes an event of normal operation.
func (l EventLog) Info(e Event, fields ...Field) { l.write(logrus.InfoLevel, e, fields) }

// Warn writes an event that the system deals with itself.
func (l EventLog) Warn(e Event, fields ...Field) { l.write(logrus.WarnLevel, e, fields) }

// Error writes an event that an operator should look at.
func (l EventLog) Error(e Event, fields ...Field) { l.write(logrus.ErrorLevel, e, fields) }

func (l EventLog) write(level logrus.Level, e Event, fields []Field) {
	if !l.out.IsLevelEnabled(level) {
		return
	}
	data := make(logrus.Fields, len(l.base)+len(fields))
	for _, f := range l.base {
		data[f.key] = f.value
	}
	for _, f := range fields {
		data[f.key] = f.value
	}
	l.out.WithFields(data).Log(level, code(string(e)))
}
