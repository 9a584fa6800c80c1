package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/agent"
)

// RunPath is the path at which a backend server runs a task.
const RunPath = "/v1/run"

const (
	maxOutput      = 1 << 20
	backendDial    = 500 * time.Millisecond
	backendIdle    = time.Minute
	minTaskFailure = 400
	minBackendFail = 500
)

// RunRequest is the body of a request to a backend server.
type RunRequest struct {
	JobID   string          `json:"job_id"`
	Task    int             `json:"task"`
	Attempt int             `json:"attempt"`
	Payload json.RawMessage `json:"payload"`
}

// backend is the HTTP client of the backend server beside an agent.
type backend struct {
	addr   string
	client *http.Client
}

func newBackend(addr string, connections int) *backend {
	return &backend{addr: addr, client: &http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: backendDial}).DialContext,
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: backendIdle,
	}}}
}

// run runs a task; only a connection that could not be opened proves that it was never sent.
func (b *backend) run(ctx context.Context, a agent.Run) (agent.Verdict, []byte) {
	body, err := json.Marshal(RunRequest{JobID: a.Job, Task: a.Index, Attempt: a.Attempt, Payload: a.Payload})
	if err != nil {
		return agent.VerdictTaskFailed, []byte(err.Error())
	}
	// A body that cannot be rewound keeps the HTTP library from sending the request a second time by itself.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.addr+RunPath, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return agent.VerdictTaskFailed, []byte(err.Error())
	}
	r.ContentLength = int64(len(body))
	w, err := b.client.Do(r)
	if err != nil {
		return verdictOf(err), nil
	}
	defer w.Body.Close()
	output, err := io.ReadAll(io.LimitReader(w.Body, maxOutput+1))
	switch {
	case err != nil:
		return agent.VerdictServerFailed, nil
	case len(output) > maxOutput:
		return agent.VerdictTaskFailed, nil
	case w.StatusCode >= minBackendFail:
		return agent.VerdictServerFailed, nil
	case w.StatusCode >= minTaskFailure:
		return agent.VerdictTaskFailed, output
	}
	return agent.VerdictDone, output
}

func verdictOf(err error) agent.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return agent.VerdictNotSent
	}
	if errors.Is(err, context.Canceled) {
		return agent.VerdictTaskFailed
	}
	return agent.VerdictServerFailed
}
