package main

import (
	"net"
	"sync"
)

// link is a proxy that carries the sessions of one entry with one agent, and holds up all bytes while it is cut.
type link struct {
	addr string

	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
}

func (w *world) newLink(to string) (*link, error) {
	socket, err := net.Listen("tcp", w.address()+":0")
	if err != nil {
		return nil, err
	}
	l := &link{addr: socket.Addr().String()}
	l.cond = sync.NewCond(&l.mu)
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			go l.carry(c, to)
		}
	}()
	return l, nil
}

func (l *link) carry(c net.Conn, to string) {
	if l.wait() {
		// Nothing of the connection has come through, and nobody sends it again.
		_ = c.Close()
		return
	}
	other, err := net.Dial("tcp", to)
	if err != nil {
		_ = c.Close()
		return
	}
	go l.copy(other, c)
	l.copy(c, other)
}

// copy carries bytes in one direction, and then the end of the connection.
func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_, _ = to.Close(), from.Close()
}

// wait returns once the link isn't cut, and reports whether it was.
func (l *link) wait() (wasCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		wasCut = true
		l.cond.Wait()
	}
	return wasCut
}

// setCut cuts the link or heals it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.cond.Broadcast()
}
