package entry

import (
	"math/rand/v2"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Config is what an entry's state machine is built from; all times are in milliseconds.
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
	// SuspectAfter is the silence after which another entry is taken out of the map.
	SuspectAfter clock.Millis
	// PollEvery is the time between reads of the table.
	PollEvery clock.Millis
	// ColdStartAfter is how long no entry of the map may show a sign of life before a newcomer replaces them all.
	ColdStartAfter clock.Millis
	// StrikeAfter is the silence after which an agent is struck off.
	StrikeAfter clock.Millis
	// LostAfter is the time without a session after which tasks at an agent count as lost.
	LostAfter clock.Millis
	// DrainLimit is the longest time that a planned stop waits for callers.
	DrainLimit clock.Millis
	// MaxQueued bounds the tasks that wait at this entry.
	MaxQueued int
	// UrgentReserve is the share of all slots that is kept free for urgent tasks.
	UrgentReserve float64
	// PackJobs sends tasks of one job to the same agent while it has free slots, so that they share frames.
	PackJobs bool
	// SendAhead is the number of normal tasks that may wait at each agent for a slot.
	SendAhead int
	// Baseline replaces the scheduling policy by random choice, one queue and no admission control.
	Baseline bool
	// Seed starts the random source of the scheduling policy.
	Seed uint64
}

// Submit is a job from a caller; Ref identifies the caller's request.
type Submit struct {
	Ref uint64
	Job proto.Job
	// Lookup asks only for the answer of a job that is already known.
	Lookup bool
}

// Abandon tells that a caller no longer waits for its answer.
type Abandon struct {
	Ref uint64
}

// CancelJob asks to end a job.
type CancelJob struct {
	Key shard.Key
}

// Apply asks to replace the configuration if its version is still Base.
type Apply struct {
	Ref      uint64
	Base     uint64
	Document *policy.Document
}

// Strike declares that an incarnation of an agent is gone for good.
type Strike struct {
	Agent shard.ID
}

// Respond gives a caller its answer.
type Respond struct {
	Ref    uint64
	Answer *proto.Answer
}

// Applied tells an operator what became of an Apply; Conflict is the configuration that was found instead.
type Applied struct {
	Ref      uint64
	Version  uint64
	Conflict *policy.Document
	Err      error
}

type common struct {
	cfg   Config
	now   clock.Millis
	out   []event.Action
	calls uint64
	rng   *rand.Rand
}

func (c *common) emit(a event.Action) {
	c.out = append(c.out, a)
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
