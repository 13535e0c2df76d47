package standin

import (
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds the time in which a client must send its headers.
const headerTimeout = 10 * time.Second

// Server serves a stand-in on loopback.
type Server struct {
	URL    string // base URL
	server *http.Server
	done   chan struct{}
}

// Listen serves a handler at an address of loopback, such as "127.0.0.1:0".
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
		_ = s.server.Serve(l) // ends with ErrServerClosed
	}()
	return s, nil
}

// Close breaks all connections and waits until the server has stopped accepting.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}
