package agent

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/pkg/label"
)

// Config is what an agent's state machine is built from.
type Config struct {
	// ID is the first identity of the process.
	ID shard.ID
	// Worker is the name of the worker that the backend server runs on.
	Worker string
	// Zone is the availability zone of the worker.
	Zone string
	// Labels describe the worker.
	Labels label.Set
	// PingEvery is the time between heartbeats to each entry, in milliseconds.
	PingEvery clock.Millis
	// QueueLimit is the greatest number of tasks that wait for a slot.
	QueueLimit int
	// HoldResults is the longest time that a result waits for others of its job, in milliseconds.
	HoldResults clock.Millis
	// KeepBytes bounds the outputs kept after the owner has acknowledged them.
	KeepBytes int
	// BackendTimeout is the silence after which the backend server counts as gone, in milliseconds.
	BackendTimeout clock.Millis
	// EjectAfter is the number of failures in a row after which the agent takes no tasks for a while.
	EjectAfter int
	// EjectFor is the first such pause, in milliseconds; it doubles up to EjectMax.
	EjectFor clock.Millis
	// EjectMax is the longest such pause, in milliseconds.
	EjectMax clock.Millis
	// DrainLimit is the longest time a planned stop waits for running tasks, in milliseconds.
	DrainLimit clock.Millis
}

// BackendAnnounced tells that the backend server beside the agent is ready, with its number of slots.
type BackendAnnounced struct {
	Slots  int
	Labels label.Set
}

// BackendLeaving tells that the backend server takes no new tasks.
type BackendLeaving struct{}

// Verdict is how a run at the backend server ended.
type Verdict int

// The ends of a run: done, failed by the task, failed by the server, and never sent to it.
const (
	VerdictDone Verdict = iota + 1
	VerdictTaskFailed
	VerdictServerFailed
	VerdictNotSent
)

// RunDone is the end of a Run.
type RunDone struct {
	Key     shard.Key
	Index   int
	Attempt int
	Verdict Verdict
	Output  []byte
}

// Run starts a task at the backend server; Budget is in milliseconds.
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
