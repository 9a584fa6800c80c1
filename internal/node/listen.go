package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const headerLimit = 10 * time.Second

// listener serves HTTP at an address and can close every connection that it has accepted.
type listener struct {
	server *http.Server
	socket net.Listener
}

func listen(addr string, h http.Handler) (l *listener, err error) {
	socket, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", addr)
	}
	l = &listener{server: &http.Server{Handler: h, ReadHeaderTimeout: headerLimit}, socket: socket}
	go func() {
		// Serve returns only when the process shuts the server down.
		_ = l.server.Serve(socket)
	}()
	return l, nil
}

// drain refuses new connections and waits for the requests in progress.
func (l *listener) drain(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_ = l.server.Shutdown(ctx)
	_ = l.server.Close()
}
