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

// SessionUp tells that a session with a process was opened.
type SessionUp struct {
	Peer shard.ID
	Role proto.Role
	// Session tells the sessions of a process apart; it rises.
	Session uint64
}

// SessionDown tells that the last session with a process was closed.
type SessionDown struct {
	Peer shard.ID
}

// Tick tells that time has passed.
type Tick struct{}

// Stop asks for a planned stop.
type Stop struct{}

// TableDone is the outcome of a TableCall; after an error it is unknown whether its writes were applied.
type TableDone struct {
	Call  uint64
	Reply table.Reply
	Err   error
}

// Send passes a message to a connected process; it is lost if there is no session.
type Send struct {
	To      shard.ID
	Message proto.Message
	// Lazy messages wait for the next frame to the same process.
	Lazy bool
}

// Connect sets the entries to which sessions are kept open.
type Connect struct {
	Members []shard.Member
}

// TableCall runs a transaction against the table service.
type TableCall struct {
	Call uint64
	Txn  table.Txn
}

// Reset closes every session, drops what was received and not yet handled, and goes on under a new identity.
type Reset struct {
	ID shard.ID
}

// Exit ends the process after a planned stop.
type Exit struct{}

// Note is one line for the log and one step of a counter; unset fields are left out.
type Note struct {
	Name   string
	Job    string
	Tenant string
	Class  string
	Reason string
	Peer   shard.ID
	// Instance names a life of a backend server.
	Instance string
	Shard    int
	Version  uint64
	Count    int
	Took     clock.Millis
	// Agents is how many agents a decision could use, Free the room in thousandths of a core that it saw there, Age the
	// age in milliseconds of the oldest report behind it, and Waiting the number of jobs that waited.
	Agents  int
	Free    int64
	Age     clock.Millis
	Waiting int
	// Placed is how long after its arrival the last task of a job was sent to an agent, and Returned how many of its runs
	// came back for want of room.
	Placed   clock.Millis
	Returned int
	// RetryAfter is when a refused caller was told to come back, in milliseconds.
	RetryAfter clock.Millis
	// Quiet notes are counted and not logged.
	Quiet bool
}
