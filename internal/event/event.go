package event

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
)

// Event is something that happened outside a state machine.
type Event any

// Action is something that a state machine wants done.
type Action any

// Received is a message from a connected process.
type Received struct {
	From    shard.ID
	Message proto.Message
}

// SessionUp reports that a session with a process was opened.
type SessionUp struct {
	Peer shard.ID
	Role proto.Role
	// Session distinguishes the sessions with a process; it increases with each.
	Session uint64
}

// SessionDown reports that the last session with a process was closed.
type SessionDown struct {
	Peer shard.ID
}

// Tick lets a state machine check what is due by now.
type Tick struct{}

// Stop requests a planned stop.
type Stop struct{}

// TableDone is the outcome of a TableCall; after an error it is unknown whether its writes were applied.
type TableDone struct {
	Call  uint64
	Reply table.Reply
	Err   error
}

// Send sends a message to a connected process; the message is lost if there is no session.
type Send struct {
	To      shard.ID
	Message proto.Message
	// Lazy delays the message until the next frame to the same process.
	Lazy bool
}

// Connect sets the processes to which sessions are kept open.
type Connect struct {
	Members []shard.Member
}

// TableCall runs a transaction against the table service.
type TableCall struct {
	Call uint64
	Txn  table.Txn
}

// Reset closes every session, drops messages that were received but not yet handled, and makes the process continue under a new
// identity.
type Reset struct {
	ID shard.ID
}

// Exit ends the process after a planned stop.
type Exit struct{}

// Note is one log line and one increment of the event's counter; unset fields are omitted.
type Note struct {
	Name   string
	Job    string
	Tenant string
	Class  string
	Reason string
	Peer   shard.ID
	// Instance identifies one incarnation of a backend server.
	Instance string
	Shard    int
	Version  uint64
	// Run is the number of a task's run, and Seq that of the order it was sent with, or of the last order that a list of runs covers.
	Run   int
	Seq   uint64
	Count int
	Took  clock.Millis
	// Agents, Free, Age and Waiting are the inputs of a decision: the number of usable agents, their known free room in
	// thousandths of a core, the age of the oldest of their reports in milliseconds, and the number of waiting jobs.
	Agents int
	Free   int64
	// Usable is the part of Free at agents that are fast enough for a refused job.
	Usable  int64
	Age     clock.Millis
	Waiting int
	// Placed is how long after its arrival the last task of a job was sent to an agent, and Returned how many of its runs
	// agents returned for lack of room.
	Placed   clock.Millis
	Returned int
	// RetryAfter is the delay after which a refused caller was told to retry, in milliseconds.
	RetryAfter clock.Millis
	// Binding says what kept a refused job from being placed on the room that the dispatcher knew of.
	Binding string
	// Work is what the runs of a job have used when it ends, in thousandths of a core times milliseconds; Late says that it
	// missed its objective.
	Work int64
	Late bool
	// Usage is set in the notes on the use of a backend server.
	Usage *Usage
	// Quiet notes are counted but not logged.
	Quiet bool
}

// Usage says how a backend server was used while work waited for its capacity. Times are in milliseconds.
type Usage struct {
	// UsedCoreMS and UsableCoreMS are the capacity that runs took and the capacity that there was, in cores times milliseconds.
	UsedCoreMS   int64
	UsableCoreMS int64
	// Reused counts the runs that took the capacity of an ended run; IdleP50 and IdleP99 are percentiles of the time between.
	Reused  int
	IdleP50 clock.Millis
	IdleP99 clock.Millis
	// Pace and NormalPace are the pace of the backend server and the one that is normal for it; zero is unknown.
	Pace, NormalPace float64
}
