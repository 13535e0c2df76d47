package standin

import (
	"net"
	"net/http"
	"time"
)

// headerTimeout is the time within which a client must send the headers of a request.
const headerTimeout = 10 * time.Second

// Server is an HTTP server for a stand-in on a loopback address.
type Server struct {
	URL    string // base URL
	server *http.Server
	done   chan struct{}
}

// Listen starts a server for a handler on a loopback address such as "127.0.0.1:0".
func Listen(addr string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		URL:    "http://" + l.Addr().String(),
		server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout},
		done:   make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(l) // returns ErrServerClosed after Close
	}()
	return s, nil
}

// Close closes all connections and waits until the server accepts no more.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}
