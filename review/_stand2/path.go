package main

import (
	"net"
	"sync"
	"time"
)

// oneWay is the time from clients to entries, as the operators' sheet gives it; a round trip is twice that.
const oneWay = 3 * time.Millisecond

// firstResend is the time after which the system of a client sends again what was not acknowledged: the usual 200 ms and a round trip.
// The time doubles with each further try.
const firstResend = 200*time.Millisecond + 2*oneWay

// path is the network between a client and an entry. A machine that is frozen acknowledges nothing: what is sent to it waits at the
// client's side and is sent again, the first part of it alone. The rest follows once that was acknowledged, one round trip later.
type path struct {
	addr string

	mu     sync.Mutex
	frozen bool
}

func (w *world) newPath(to string) (*path, error) {
	socket, err := net.Listen("tcp", w.address()+":0")
	if err != nil {
		return nil, err
	}
	p := &path{addr: socket.Addr().String()}
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			go p.carry(c, to)
		}
	}()
	return p, nil
}

func (p *path) setFrozen(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = frozen
}

func (p *path) isFrozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}

// part is what a client has sent at a time: bytes, or the end of the connection.
type part struct {
	data []byte
	sent time.Time
	end  bool
}

func (p *path) carry(client net.Conn, to string) {
	entry, err := net.Dial("tcp", to)
	if err != nil {
		_ = client.Close()
		return
	}
	go answers(client, entry)
	parts := make(chan part, 100)
	go func() {
		for {
			buf := make([]byte, 64<<10)
			n, err := client.Read(buf)
			now := time.Now()
			if n > 0 {
				parts <- part{data: buf[:n], sent: now}
			}
			if err != nil {
				parts <- part{sent: now, end: true}
				return
			}
		}
	}()
	p.deliver(entry, parts)
}

// deliver delivers what a client sends.
func (p *path) deliver(entry net.Conn, parts <-chan part) {
	var acked time.Time
	for x := range parts {
		at := x.sent.Add(oneWay)
		if at.Before(acked) {
			// It was sent, and lost, while the part before it was not acknowledged.
			at = acked
		}
		time.Sleep(time.Until(at))
		resent := false
		for pause := firstResend; p.isFrozen(); pause *= 2 {
			at = at.Add(pause)
			resent = true
			time.Sleep(time.Until(at))
		}
		if x.end {
			_ = entry.(*net.TCPConn).CloseWrite()
			return
		}
		if _, err := entry.Write(x.data); err != nil {
			return
		}
		if resent {
			acked = time.Now().Add(2 * oneWay)
		}
	}
}

// answers carries what the entry sends, and then the end of the connection.
func answers(client, entry net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := entry.Read(buf)
		time.Sleep(oneWay)
		if n > 0 {
			if _, err := client.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_, _ = client.Close(), entry.Close()
}
