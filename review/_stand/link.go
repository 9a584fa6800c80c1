package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is a way between two machines; bytes and ends of connections arrive after a delay, and while it is cut they are held up.
type link struct {
	listener net.Listener
	target   string
	delay    time.Duration

	mu   sync.Mutex
	open chan struct{}
}

func newLink(target string, delay time.Duration) (*link, error) {
	l, err := net.Listen("tcp", freeAddr())
	if err != nil {
		return nil, err
	}
	p := &link{listener: l, target: target, delay: delay, open: make(chan struct{})}
	close(p.open)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *link) addr() string { return p.listener.Addr().String() }

func (p *link) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *link) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

func (p *link) wait() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

// piece is what one read gave, and when it arrives.
type piece struct {
	data []byte
	err  error
	at   time.Time
}

// serve passes bytes on in both directions, and the end of each direction.
func (p *link) serve(c net.Conn) {
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.pass(c, s) })
	wg.Go(func() { p.pass(s, c) })
	wg.Wait()
	_ = c.Close()
	_ = s.Close()
}

func (p *link) pass(from, to net.Conn) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 64<<10)
			n, err := from.Read(b)
			pieces <- piece{b[:n], err, time.Now().Add(p.delay)}
			if err != nil {
				return
			}
		}
	}()
	for x := range pieces {
		time.Sleep(time.Until(x.at))
		p.wait()
		if _, err := to.Write(x.data); err != nil {
			break
		}
		if errors.Is(x.err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
		} else if x.err != nil {
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
		}
	}
	_ = from.(*net.TCPConn).CloseRead()
	for range pieces {
	}
}
