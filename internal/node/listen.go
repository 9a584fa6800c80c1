package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/clock"
)

const (
	headerLimit = 10 * time.Second
	// drainPoll is the time between checks for open connections while a listener drains.
	drainPoll = 20 * time.Millisecond
)

// Listener serves HTTP at an address and can close every connection that it has accepted.
type Listener struct {
	server *http.Server
	socket net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
	// onIdle is called when a connection has become idle, onNew when one has begun; tests wait for them.
	onIdle func()
	onNew  func()
}

// Listen serves HTTP at an IP address and port.
func Listen(addr string, h http.Handler) (l *Listener, err error) {
	socket, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", addr)
	}
	return serve(socket, h, clock.NewBoot()), nil
}

func serve(socket net.Listener, h http.Handler, c clock.Clock) *Listener {
	l := &Listener{socket: socket, conns: map[*conn]struct{}{}}
	l.server = &http.Server{Handler: h, ReadHeaderTimeout: headerLimit, ConnState: l.track, ConnContext: withConn}
	go func() {
		// Serve returns only when the process shuts the server down.
		_ = l.server.Serve(wrapping{socket, c})
	}()
	return l
}

// Drain refuses new connections, closes the idle ones and waits for the requests in progress; the error says that some
// were cut off. The server's own shutdown would close idle connections without reading what has just arrived there.
func (l *Listener) Drain(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	// An error would say that the socket is closed already.
	_ = l.socket.Close()
	for l.closeIdle() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	err := l.server.Shutdown(ctx)
	_ = l.server.Close()
	return err
}

// closeIdle begins to close the connections that wait for a request, and returns how many connections are open.
func (l *Listener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeIfIdle()
	}
	return len(l.conns)
}

func (l *Listener) track(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		l.conns[c] = struct{}{}
		if l.onNew != nil {
			l.onNew()
		}
	case http.StateIdle:
		c.rest()
		if l.onIdle != nil {
			l.onIdle()
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// wrapping accepts connections that can be closed while they are idle.
type wrapping struct {
	net.Listener
	clock clock.Clock
}

// Accept waits for the next connection.
func (w wrapping) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, clock: w.clock, since: w.clock.Now(), idle: true}, nil
}
