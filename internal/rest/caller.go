package rest

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/justinas/alice"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/pkg/client"
	"corianderspur.example/corianderspur/pkg/label"
)

// Bounds on what callers may send; sizes in bytes, times in milliseconds.
const (
	MaxBody       = 8 << 20
	MaxTasks      = 2000
	MaxPayload    = 256 << 10
	MaxName       = 200
	MaxDeadline   = 10 * 60 * clock.Second
	lookupDefault = 30 * clock.Second
)

// Dispatcher takes jobs from callers and returns their answers.
type Dispatcher interface {
	Submit(ctx context.Context, job proto.Job, lookup bool) (*proto.Answer, error)
	Cancel(key shard.Key)
	// Resuming reports whether the process was suspended until a moment ago, so that requests may be old.
	Resuming() bool
}

// CallerHandler serves the callers' interface.
type CallerHandler struct {
	dispatcher Dispatcher
}

// NewCallerHandler creates the handler of the callers' interface with its filters.
func NewCallerHandler(d Dispatcher) http.Handler {
	h := &CallerHandler{dispatcher: d}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", h.submit)
	mux.HandleFunc("GET /v1/jobs/{tenant}/{job}", h.fetch)
	mux.HandleFunc("DELETE /v1/jobs/{tenant}/{job}", h.cancel)
	return alice.New(limitBody, h.refuseStale).Then(mux)
}

func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxBody)
		next.ServeHTTP(w, r)
	})
}

// refuseStale turns away requests that may have waited while the process was frozen.
func (h *CallerHandler) refuseStale(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.dispatcher.Resuming() {
			w.Header().Set("Connection", "close")
			writeProblem(w, http.StatusServiceUnavailable, &FieldError{Reason: "this entry was paused; submit the job again"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// FieldError is a fault in a request; Field is empty if no single field is at fault.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Reason
}

func (h *CallerHandler) submit(w http.ResponseWriter, r *http.Request) {
	var in client.Job
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		status := http.StatusBadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		writeProblem(w, status, &FieldError{Reason: err.Error()})
		return
	}
	job, fault := ToJob(in)
	if fault != nil {
		writeProblem(w, http.StatusBadRequest, fault)
		return
	}
	h.answer(w, r, job, false)
}

// ToJob checks a submission and converts it; the error names the first field at fault.
func ToJob(in client.Job) (job proto.Job, fault *FieldError) {
	if fault := checkNames(in.Tenant, in.JobID); fault != nil {
		return job, fault
	}
	if err := in.Labels.Validate(); err != nil {
		return job, &FieldError{Field: "labels", Reason: err.Error()}
	}
	if in.DeadlineMS < 1 || in.DeadlineMS > int64(MaxDeadline) {
		return job, &FieldError{Field: "deadline_ms", Reason: fmt.Sprintf("want 1 to %d", MaxDeadline)}
	}
	if len(in.Tasks) < 1 || len(in.Tasks) > MaxTasks {
		return job, &FieldError{Field: "tasks", Reason: fmt.Sprintf("want 1 to %d tasks", MaxTasks)}
	}
	job = proto.Job{
		Key: shard.NewKey(in.Tenant, in.JobID), ID: in.JobID, Tenant: in.Tenant,
		Labels: in.Labels.Merge(label.Set{"tenant": in.Tenant}), Budget: clock.Millis(in.DeadlineMS),
	}
	digest := sha256.New()
	for _, name := range in.Labels.Names() {
		fmt.Fprintf(digest, "%s=%s;", name, in.Labels[name])
	}
	for i, t := range in.Tasks {
		if len(t.Payload) > MaxPayload {
			return job, &FieldError{Field: fmt.Sprintf("tasks[%d].payload", i), Reason: fmt.Sprintf("over %d bytes", MaxPayload)}
		}
		job.Tasks = append(job.Tasks, proto.Task{Payload: t.Payload})
		fmt.Fprintf(digest, "%d:", len(t.Payload))
		digest.Write(t.Payload)
	}
	job.Digest = max(1, binary.BigEndian.Uint64(digest.Sum(nil)))
	return job, nil
}

func checkNames(tenant, job string) *FieldError {
	if tenant == "" || len(tenant) > MaxName {
		return &FieldError{Field: "tenant", Reason: fmt.Sprintf("want 1 to %d bytes", MaxName)}
	}
	if job == "" || len(job) > MaxName {
		return &FieldError{Field: "job_id", Reason: fmt.Sprintf("want 1 to %d bytes", MaxName)}
	}
	return nil
}

func (h *CallerHandler) fetch(w http.ResponseWriter, r *http.Request) {
	tenant, id := r.PathValue("tenant"), r.PathValue("job")
	if fault := checkNames(tenant, id); fault != nil {
		writeProblem(w, http.StatusBadRequest, fault)
		return
	}
	budget := lookupDefault
	if text := r.URL.Query().Get("wait_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > int64(MaxDeadline) {
			writeProblem(w, http.StatusBadRequest, &FieldError{Field: "wait_ms", Reason: fmt.Sprintf("want 1 to %d", MaxDeadline)})
			return
		}
		budget = clock.Millis(ms)
	}
	h.answer(w, r, proto.Job{Key: shard.NewKey(tenant, id), ID: id, Tenant: tenant, Budget: budget}, true)
}

func (h *CallerHandler) cancel(w http.ResponseWriter, r *http.Request) {
	tenant, id := r.PathValue("tenant"), r.PathValue("job")
	if fault := checkNames(tenant, id); fault != nil {
		writeProblem(w, http.StatusBadRequest, fault)
		return
	}
	h.dispatcher.Cancel(shard.NewKey(tenant, id))
	w.WriteHeader(http.StatusAccepted)
}

func (h *CallerHandler) answer(w http.ResponseWriter, r *http.Request, job proto.Job, lookup bool) {
	a, err := h.dispatcher.Submit(r.Context(), job, lookup)
	if err != nil {
		return
	}
	out := client.Answer{
		JobID: job.ID, Status: string(a.Status), Run: string(a.Run), Reason: string(a.Reason),
		RetryAfterMS: int64(a.RetryAfter), Starts: a.Starts,
	}
	for _, result := range a.Results {
		out.Results = append(out.Results, toJSON(result))
	}
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64(a.RetryAfter+clock.Second-1)/int64(clock.Second), 10))
	}
	writeJSON(w, statusOf(a), out)
}

// toJSON returns an output as it is if it is valid JSON, else as a JSON string.
func toJSON(output []byte) json.RawMessage {
	if json.Valid(output) {
		return output
	}
	text, err := json.Marshal(string(output))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}

func statusOf(a *proto.Answer) int {
	if a.Status == proto.StatusComplete {
		return http.StatusOK
	}
	switch a.Reason {
	case proto.ReasonDenied:
		return http.StatusForbidden
	case proto.ReasonQuota, proto.ReasonOverload:
		return http.StatusTooManyRequests
	case proto.ReasonNoWorker, proto.ReasonStopping, proto.ReasonStale:
		return http.StatusServiceUnavailable
	case proto.ReasonConflict, proto.ReasonCancelled:
		return http.StatusConflict
	case proto.ReasonUnknownJob:
		return http.StatusNotFound
	case proto.ReasonDeadline, proto.ReasonOwner:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func writeProblem(w http.ResponseWriter, status int, fault *FieldError) {
	writeJSON(w, status, client.Problem{Error: fault.Reason, Field: fault.Field, Run: string(proto.RanUnknown)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The connection is the only place to report a failed write, and it is gone.
	_ = json.NewEncoder(w).Encode(body)
}
