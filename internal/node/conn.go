package node

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"corianderspur.example/corianderspur/internal/clock"
)

// lastRead is how long an idle connection is read once more before it is closed: a request may have arrived that the server has
// not read yet.
const lastRead = 5 * time.Millisecond

const (
	// slowFirst is the age of a connection's first request from which on it may have been held up on the way: callers connect to send.
	slowFirst = 1 * clock.Second
	// firstEndWait is how long the end of a connection is waited for behind such a request. It covers a round trip between regions:
	// an end that was lost on the way arrives that much later.
	firstEndWait = 20 * time.Millisecond
	// laterEndWait is the same for later requests on a connection, where a long silence is usual and callers would notice a longer
	// wait. It covers an end that was sent together with the request, or one round trip to callers nearby.
	laterEndWait = 3 * time.Millisecond
)

// conn is a connection that can be closed while it is idle without a loss of what has arrived on it, and that knows how old the
// request on it may be.
type conn struct {
	net.Conn
	clock clock.Clock

	mu sync.Mutex
	// idle says that nothing of another request has been read since the last answer, or since the connection began.
	idle bool
	// since is when the connection was accepted or the last answer was written; the request in progress was sent after that.
	since clock.Millis
	// answered says that the connection has had an answer.
	answered bool
	// closing says that the server's read ends, so that it closes the connection.
	closing bool
}

// rest marks the connection as idle.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
	c.answered = true
	c.since = c.clock.Now()
}

// endWait returns how long to wait for the end of the connection before the request in progress is acted on. The request may have been
// held up on the way if the connection has been silent for as long as the caller waits for an answer.
func (c *conn) endWait(patience clock.Millis) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	silence := c.clock.Now() - c.since
	switch {
	case !c.answered && silence >= min(patience, slowFirst):
		return firstEndWait
	case c.answered && silence >= patience:
		return laterEndWait
	}
	return 0
}

// mayBeFrom reports whether the request in progress may be one of a standstill whose caller has left.
func (c *conn) mayBeFrom(s stall, patience clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.mayOutlast(c.clock.Now(), c.since, patience)
}

// ended reports whether the peer's end of the connection has arrived and is next to be read. It doesn't wait.
func (c *conn) ended() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var readErr error
	// The server's own read holds the lock that RawConn.Read takes; Control needs none.
	err = raw.Control(func(fd uintptr) {
		n, _, readErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil || errors.Is(readErr, unix.ECONNRESET) {
		return true
	}
	return n == 0 && readErr == nil
}

type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a request, or nil if its listener is not one of this package.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// closeIfIdle makes the server close the connection, unless a request has begun or the first one is on its way: callers connect to send.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || (!c.answered && c.clock.Now()-c.since < slowFirst) {
		return
	}
	c.closing = true
	// The read that waits ends with an error, on which the server closes the connection. The server may set the deadline
	// anew when the connection becomes idle, so this is repeated until the connection is gone.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// Read reads what has arrived, also when the connection was about to be closed.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && errors.Is(err, os.ErrDeadlineExceeded) {
		c.closing = false
		n, err = c.readLast(b)
	}
	if n > 0 {
		c.idle = false
	}
	return n, err
}

func (c *conn) readLast(b []byte) (n int, err error) {
	if err := c.SetReadDeadline(time.Now().Add(lastRead)); err != nil {
		return 0, err
	}
	n, err = c.Conn.Read(b)
	if n == 0 {
		return 0, err
	}
	return n, c.SetReadDeadline(time.Time{})
}
