// Standin runs the stand-ins for the platform's table service and for backend servers.
package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/stand"
	"corianderspur.example/corianderspur/platform/soak"
)

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform, for demos and tests.")
	tableCmd := app.Command("table", "Run the table service.")
	tableAddr := tableCmd.Flag("addr", "IP address and port to serve at.").Required().String()
	backendCmd := app.Command("backend", "Run a backend server.")
	backendAddr := backendCmd.Flag("addr", "IP address and port to serve at.").Required().String()
	agentAddr := backendCmd.Flag("agent", "IP address and port of the agent to announce to.").Required().String()
	slots := backendCmd.Flag("slots", "Tasks to run at once.").Default("8").Int()
	askCmd := app.Command("ask", "Send a request, print the body of the response and fail unless it is a success.")
	askURL := askCmd.Arg("url", "Where to send the request.").Required().String()
	askBody := askCmd.Flag("post", "Body of a POST; without it the request is a GET.").String()
	soakCmd := app.Command("soak", "Stand in for the operators' platform, break it, and check what callers and runners see.")
	soakBase := soakCmd.Flag("base", "First port on loopback.").Default("18000").Int()
	soakEntries := soakCmd.Flag("entries", "Number of entries.").Default("3").Int()
	soakAgents := soakCmd.Flag("agents", "Number of agents.").Default("6").Int()
	soakCallers := soakCmd.Flag("callers", "Number of callers.").Default("12").Int()
	soakLength := soakCmd.Flag("length", "How long the run takes.").Default("30s").Duration()
	soakCalm := soakCmd.Flag("calm", "Time at the end in which nothing is broken.").Default("8s").Duration()
	soakSeed := soakCmd.Flag("seed", "Seed of the faults.").Default("1").Uint64()
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
	case soakCmd.FullCommand():
		cfg := soak.Layout(*soakBase, *soakEntries, *soakAgents)
		cfg.Callers, cfg.Length, cfg.Calm, cfg.Seed = *soakCallers, *soakLength, *soakCalm, *soakSeed
		kept, err := soak.Run(ctx, cfg, os.Stdout)
		app.FatalIfError(err, "soak")
		if !kept {
			app.Fatalf("a promise was broken")
		}
	case askCmd.FullCommand():
		app.FatalIfError(ask(ctx, *askURL, *askBody), "ask %s", *askURL)
	}
}

// ask sends a request and copies the body of the response to standard output.
func ask(ctx context.Context, url, body string) error {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if _, err := io.Copy(os.Stdout, w.Body); err != nil {
		return err
	}
	if w.StatusCode >= http.StatusBadRequest {
		return errors.New(w.Status)
	}
	return nil
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
