package entry

import (
	"math/rand/v2"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Config configures the state machine of an entry; all times are in milliseconds.
type Config struct {
	// ID is the identity of this incarnation.
	ID shard.ID
	// Addr is the IP address and port that other processes connect to.
	Addr string
	// Zone is the availability zone of the entry.
	Zone string
	// Shards is the number of shards of a deployment that this entry creates.
	Shards int
	// Terms are the time bounds of a deployment that this entry creates.
	Terms shard.Terms
	// BeatEvery is the time between heartbeats to other entries.
	BeatEvery clock.Millis
	// SuspectAfter is the time without a heartbeat after which another entry is removed from the map.
	SuspectAfter clock.Millis
	// PollEvery is the time between reads of the table.
	PollEvery clock.Millis
	// ColdStartAfter is the time without a change to the liveness row of any entry of the map after which an entry outside
	// the map replaces them all.
	ColdStartAfter clock.Millis
	// StrikeAfter is the time without a heartbeat or result after which an agent is marked as lost in the map.
	StrikeAfter clock.Millis
	// LostAfter is the time without a session after which tasks at an agent count as lost.
	LostAfter clock.Millis
	// DrainLimit bounds the time that a planned stop waits for shards to be handed over and callers to be answered.
	DrainLimit clock.Millis
	// MaxQueued bounds the number of tasks queued at this entry.
	MaxQueued int
	// UrgentReserve is the share of all slots that is kept free for urgent tasks.
	UrgentReserve float64
	// PackJobs sends the tasks of one job to the same agent while it has free slots, so that they share frames.
	PackJobs bool
	// SendAhead is the number of normal tasks that may be queued at each agent beyond its free slots.
	SendAhead int
	// Baseline replaces the scheduling policy with random choice, a single queue and no admission control.
	Baseline bool
	// Seed seeds the random source of the scheduling policy.
	Seed uint64
}

// Submit is a job submitted by a caller; Ref identifies the caller's request.
type Submit struct {
	Ref uint64
	Job proto.Job
	// Lookup only asks for the answer to a job that is already known and starts nothing.
	Lookup bool
}

// Abandon reports that a caller no longer waits for its answer.
type Abandon struct {
	Ref uint64
}

// CancelJob requests that a job be cancelled.
type CancelJob struct {
	Key shard.Key
}

// Apply requests that the configuration be replaced if its version is still Base.
type Apply struct {
	Ref      uint64
	Base     uint64
	Document *policy.Document
}

// Strike declares an incarnation of an agent permanently gone.
type Strike struct {
	Agent shard.ID
}

// Respond delivers the answer to a caller.
type Respond struct {
	Ref    uint64
	Answer *proto.Answer
}

// Applied reports the outcome of an Apply; Conflict is the configuration in force if its version was not Base.
type Applied struct {
	Ref      uint64
	Version  uint64
	Conflict *policy.Document
	Err      error
}

type common struct {
	cfg     Config
	now     clock.Millis
	actions []event.Action
	calls   uint64
	rng     *rand.Rand
}

func (c *common) emit(a event.Action) {
	c.actions = append(c.actions, a)
}

func (c *common) send(to shard.ID, msg proto.Message) {
	c.emit(event.Send{To: to, Message: msg})
}

func (c *common) sendLazy(to shard.ID, msg proto.Message) {
	c.emit(event.Send{To: to, Message: msg, Lazy: true})
}

func (c *common) nextCall() uint64 {
	c.calls++
	return c.calls
}

func className(urgent bool) string {
	if urgent {
		return "urgent"
	}
	return "normal"
}
