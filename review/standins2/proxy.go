package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// delayProxy passes connections on to a target and delays what comes back.
type delayProxy struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
}

func newDelayProxy(target string) (*delayProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &delayProxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *delayProxy) addr() string { return p.listener.Addr().String() }

func (p *delayProxy) setDelay(d time.Duration) { p.delay.Store(int64(d)) }

func (p *delayProxy) close() { _ = p.listener.Close() }

func (p *delayProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go p.forward(client)
	}
}

func (p *delayProxy) forward(client net.Conn) {
	defer client.Close()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	go func() {
		_, _ = io.Copy(target, client)
		_ = target.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := target.Read(buf)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			if _, err := client.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
