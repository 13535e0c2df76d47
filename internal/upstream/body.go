package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a TCP connection that has ended in both directions, as after a reset.
const tcpClosed = 7 // TCP_CLOSE of Linux

// body returns the body of a response.
func (c *conn) body(resp *http.Response) io.Reader {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return unframedBody{resp.Body, c}
	}
	return resp.Body
}

// unframedBody is the body of a response without length or chunks, which ends with its connection. The system reports
// a reset to one call only. If that is the write of the request's body, the next read returns io.EOF, as after an
// orderly end.
type unframedBody struct {
	io.Reader
	conn *conn
}

// Read implements io.Reader.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		if broken := b.conn.brokenWrite(); broken != nil {
			return n, fmt.Errorf("response cut off: %w", broken)
		}
	}
	return n, err
}

// brokenWrite returns the error with which the connection ended while the request's body was being written. It returns
// nil if the endpoint has ended its direction of the connection in order.
func (c *conn) brokenWrite() error {
	if c.bodyWritten == nil || !c.closed() {
		return nil
	}
	err := <-c.bodyWritten // at once, since the connection is closed
	c.bodyWritten <- err
	if errors.Is(err, syscall.EPIPE) {
		return nil // the orderly end came first
	}
	return err
}

// closed reports whether the connection has ended in both directions.
func (c *conn) closed() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpClosed
	})
	return closed || err != nil
}
