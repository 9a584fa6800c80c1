package agent

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/pkg/label"
)

// Config configures the state machine of an agent.
type Config struct {
	// ID is the identity that the process starts with; later ones are derived from it.
	ID shard.ID
	// Worker is the name of the worker that the backend server runs on.
	Worker string
	// Zone is the availability zone of the worker.
	Zone string
	// Labels describe the worker.
	Labels label.Set
	// PingEvery is the time between heartbeats to each entry, in milliseconds.
	PingEvery clock.Millis
	// QueueLimit is the number of queued tasks from which on normal tasks are refused; urgent ones are refused from twice
	// that number on.
	QueueLimit int
	// HoldResults is the longest time for which a result is held back to be sent with others of its job, in milliseconds.
	HoldResults clock.Millis
	// KeepBytes bounds the memory for outputs that the owner has acknowledged, in bytes.
	KeepBytes int
	// BackendTimeout is the time without an announcement after which the backend server counts as gone, in milliseconds.
	BackendTimeout clock.Millis
	// EjectAfter is the number of consecutive failures after which the backend server is ejected: it gets no tasks for a
	// while.
	EjectAfter int
	// EjectFor is the length of the first ejection, in milliseconds; it doubles with each further one, up to EjectMax.
	EjectFor clock.Millis
	// EjectMax is the longest ejection, in milliseconds.
	EjectMax clock.Millis
	// DrainLimit is the longest time that a planned stop waits for running tasks and unacknowledged results, in
	// milliseconds.
	DrainLimit clock.Millis
}

// BackendAnnounced reports that the backend server beside the agent is ready, with its number of slots.
type BackendAnnounced struct {
	Slots  int
	Labels label.Set
}

// BackendLeaving reports that the backend server accepts no new tasks.
type BackendLeaving struct{}

// Verdict is the result of a run at the backend server.
type Verdict int

// The results of a run: done, failed by the task, failed by the backend server, and never sent to it.
const (
	VerdictDone Verdict = iota + 1
	VerdictTaskFailed
	VerdictServerFailed
	VerdictNotSent
)

// RunDone reports that a Run has ended.
type RunDone struct {
	Key     shard.Key
	Index   int
	Attempt int
	Verdict Verdict
	Output  []byte
}

// Run starts a task at the backend server; Budget is the time left until its deadline, in milliseconds.
type Run struct {
	Key     shard.Key
	Job     string
	Index   int
	Attempt int
	Payload []byte
	Budget  clock.Millis
}

// Abort stops the running tasks of a job.
type Abort struct {
	Key shard.Key
}

type common struct {
	cfg   Config
	id    shard.ID
	now   clock.Millis
	out   []event.Action
	calls uint64
}

func (c *common) emit(a event.Action) {
	c.out = append(c.out, a)
}

func (c *common) send(to shard.ID, msg proto.Message) {
	c.emit(event.Send{To: to, Message: msg})
}

func (c *common) nextCall() uint64 {
	c.calls++
	return c.calls
}
