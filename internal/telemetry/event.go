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

// Event is the message of a log line, a code such as "slot_claimed".
type Event string

// Field is a key and value of a log line. It is created only by the functions of this package, which sanitize
// text values.
type Field struct {
	key   string
	value any
}

var (
	codePattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,63}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
)

// safeCode returns text if it has the form of a code, and "withheld" otherwise.
func safeCode(text string) string {
	if !codePattern.MatchString(text) {
		return "withheld"
	}
	return text
}

// safeName returns text if it has the form of an identifier. Other text may come from a caller and have any
// content, so it is replaced by a hash: lines about the same object can still be matched.
func safeName(text string) string {
	if text == "" || namePattern.MatchString(text) {
		return text
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // Write of a hash.Hash never returns an error
	return fmt.Sprintf("withheld-%08x", h.Sum32())
}

// Program is the field "program".
func Program(p id.Program) Field { return Field{"program", safeName(string(p))} }

// Call is the field "call": branch and sequence number. The program is a separate field.
func Call(c id.Call) Field { return Field{"call", fmt.Sprintf("%s/%d", safeName(c.Branch), c.Seq)} }

// Attempt is the field "attempt".
func Attempt(a id.Attempt) Field { return Field{"attempt", safeName(string(a))} }

// Instance is the field "instance".
func Instance(s id.Session) Field { return Field{"instance", safeName(string(s))} }

// Peer is the field "peer": an instance other than the one that writes the line.
func Peer(s id.Session) Field { return Field{"peer", safeName(string(s))} }

// Stream is the field "stream": a stream of the platform's log.
func Stream(n string) Field { return Field{"stream", safeName(n)} }

// Offset is the field "offset": an offset in a stream.
func Offset(n uint64) Field { return Field{"offset", n} }

// HTTP is the field "http": the listen address for requests of callers.
func HTTP(addr string) Field { return Field{"http", safeName(addr)} }

// Listen is the field "listen": the listen address of the peer protocol.
func Listen(addr string) Field { return Field{"listen", safeName(addr)} }

// Name is the field "name": the name of a setting.
func Name(n string) Field { return Field{"name", safeName(n)} }

// Epoch is the field "epoch".
func Epoch(e id.Epoch) Field { return Field{"epoch", uint64(e)} }

// Slot is the field "slot".
func Slot(s id.Slot) Field { return Field{"slot", int(s)} }

// Reason is the field "reason": a code.
func Reason(r sched.Reason) Field { return Field{"reason", safeCode(string(r))} }

// Team is the field "tenant": the name of a team in the manifest.
func Team(n string) Field { return Field{"tenant", safeName(n)} }

// Duty is the field "duty": the name of a duty in the manifest.
func Duty(n string) Field { return Field{"duty", safeName(n)} }

// Pool is the field "pool": the name of a pool in the manifest.
func Pool(n string) Field { return Field{"pool", safeName(n)} }

// Endpoint is the field "endpoint": the name of an endpoint in the manifest.
func Endpoint(n string) Field { return Field{"endpoint", safeName(n)} }

// Version is the field "version": the version of the manifest.
func Version(v uint64) Field { return Field{"version", v} }

// Fence is the field "fence": the fencing token of an order.
func Fence(s fmt.Stringer) Field { return Field{"fence", safeName(s.String())} }

// Count is the field "count".
func Count(n int) Field { return Field{"count", n} }

// Bytes is the field "bytes".
func Bytes(n int) Field { return Field{"bytes", n} }

// Status is the field "status": an HTTP status.
func Status(n int) Field { return Field{"status", n} }

// Took is the field "took".
func Took(d time.Duration) Field { return Field{"took", d.String()} }

// Age is the field "age".
func Age(d time.Duration) Field { return Field{"age", d.String()} }

// LogCoder is implemented by errors that define a code for the log.
type LogCoder interface{ LogCode() string }

// Err is the field "error". Its value is the class of the error instead of its text, because the text of a
// parse error can quote its input.
func Err(err error) Field { return Field{"error", errorClass(err)} }

// errorClass returns the code of an error, or a code for a common kind of error, or else the Go type of the
// innermost wrapped error.
func errorClass(err error) string {
	var coder LogCoder
	var errno syscall.Errno
	var netErr net.Error
	switch {
	case err == nil:
		return "none"
	case errors.As(err, &coder):
		return safeCode(coder.LogCode())
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

// EventLog writes events with typed fields.
type EventLog struct {
	out  *logrus.Logger
	base []Field
}

// NewEventLog returns an EventLog that writes to a logger of NewLogger.
func NewEventLog(l *logrus.Logger) EventLog { return EventLog{out: l} }

// With returns a log that adds fields to every line.
func (l EventLog) With(fields ...Field) EventLog {
	return EventLog{out: l.out, base: append(l.base[:len(l.base):len(l.base)], fields...)}
}

// Debug writes an event that is useful only for debugging.
func (l EventLog) Debug(e Event, fields ...Field) { l.write(logrus.DebugLevel, e, fields) }

// Info writes an event of normal operation.
func (l EventLog) Info(e Event, fields ...Field) { l.write(logrus.InfoLevel, e, fields) }

// Warn writes an event of a problem that the system handles without an operator.
func (l EventLog) Warn(e Event, fields ...Field) { l.write(logrus.WarnLevel, e, fields) }

// Error writes an event that needs the attention of an operator.
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
	l.out.WithFields(data).Log(level, safeCode(string(e)))
}
