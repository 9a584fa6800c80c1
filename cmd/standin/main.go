// Standin runs the stand-ins for the platform's table service and for backend servers.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"corianderspur.example/corianderspur/internal/stand"
)

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform, for demos and tests.")
	tableCmd := app.Command("table", "Run the table service.")
	tableAddr := tableCmd.Flag("addr", "IP address and port to serve at.").Required().String()
	backendCmd := app.Command("backend", "Run a backend server.")
	backendAddr := backendCmd.Flag("addr", "IP address and port to serve at.").Required().String()
	agentAddr := backendCmd.Flag("agent", "IP address and port of the agent to announce to.").Required().String()
	slots := backendCmd.Flag("slots", "Tasks to run at once.").Default("8").Int()
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch command {
	case tableCmd.FullCommand():
		serve(ctx, app, *tableAddr, stand.NewTable().Handler())
	case backendCmd.FullCommand():
		b := stand.NewBackend(*backendAddr, *agentAddr, *slots)
		go b.Announce(ctx)
		serve(ctx, app, *backendAddr, b.Handler())
	}
}

func serve(ctx context.Context, app *kingpin.Application, addr string, h http.Handler) {
	server := &http.Server{Addr: addr, Handler: h}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		app.FatalIfError(err, "serve at %s", addr)
	}
}
