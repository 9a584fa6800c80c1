package runs

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// Config is what the state machine is built from; times are in milliseconds.
type Config struct {
	// ID names this life of the agent, Name the instance.
	ID   shard.ID
	Name string
	// Lease is how long a backend server works on without a renewal.
	Lease clock.Millis
	// Silence is how long a dispatcher may be silent before its runs are stopped.
	Silence clock.Millis
	// IdleSilence is how long a dispatcher without runs may be silent before its session is closed; zero stands for Silence.
	IdleSilence clock.Millis
	// Reattach is how long a dispatcher has for a new session when the old one was reset.
	Reattach clock.Millis
	// LookWait is how long the backend server waits for an end before it answers a look.
	LookWait clock.Millis
	// OrderTimeout is how long an answer to an order may take.
	OrderTimeout clock.Millis
	// DrainLimit is the longest time a planned stop waits for running tasks.
	DrainLimit clock.Millis
}

// ClockSlack covers that the backend server's clock may be slower than the agent's, as a divisor of the time passed.
const ClockSlack = 40

// Instance describes one life of the backend server.
type Instance struct {
	ID string
	// Born is the Unix time in milliseconds at which this life began.
	Born     int64
	Service  string
	Zone     string
	Labels   []string
	Total    room.Room
	Draining bool
	Seq      uint64
}

// Announced is a heartbeat of the backend server.
type Announced struct {
	Instance Instance
}

// Gone tells that the backend server has ended as planned.
type Gone struct {
	ID string
}

// StartRun asks the backend server to start a run.
type StartRun struct {
	Instance string
	Task     string
	Run      int
	Spec     string
	// Lease is how long everything there may run on from now, in milliseconds.
	Lease   clock.Millis
	Timeout clock.Millis
}

// StartDone is the outcome of a StartRun.
type StartDone struct {
	Task    string
	Run     int
	Outcome Outcome
	Born    int64
}

// Outcome says what became of an order.
type Outcome string

// The outcomes of orders.
const (
	// OrderDone means that the order was carried out.
	OrderDone Outcome = "done"
	// OrderNoRoom, OrderOld and OrderRefused mean that nothing was done.
	OrderNoRoom  Outcome = "no_room"
	OrderOld     Outcome = "old"
	OrderRefused Outcome = "refused"
	// OrderGone means that this life of the backend server has ended.
	OrderGone Outcome = "gone"
	// OrderUnknown means that no answer came; the order may be carried out later.
	OrderUnknown Outcome = "unknown"
)

// HaltRun asks the backend server to stop a run.
type HaltRun struct {
	Instance string
	Task     string
	Run      int
	Timeout  clock.Millis
}

// HaltDone is the outcome of a HaltRun.
type HaltDone struct {
	Task    string
	Run     int
	Outcome Outcome
	Born    int64
}

// Look asks the backend server for its runs and renews the lease of all of them.
type Look struct {
	Instance string
	// Lease is how long everything there may run on from now, in milliseconds; zero renews nothing.
	Lease clock.Millis
	// Seen is the number of the last end that was taken note of.
	Seen    uint64
	Wait    clock.Millis
	Timeout clock.Millis
	// Number tells looks apart.
	Number uint64
}

// Looked is the outcome of a Look.
type Looked struct {
	Number  uint64
	Outcome Outcome
	Born    int64
	Running []Running
	Ended   []Ended
}

// Running is a run that is at work at the backend server.
type Running struct {
	Task string
	Run  int
	// Percent is how much of the task is done.
	Percent float64
}

// Ended is a run that has ended at the backend server.
type Ended struct {
	N    uint64
	Task string
	Run  int
	How  proto.How
	// Lapsed says that the lease lapsed.
	Lapsed bool
}

// Drop closes the session with a process.
type Drop struct {
	Peer shard.ID
}

type phase int

const (
	// held runs wait for room at the agent and take none.
	held phase = iota
	starting
	working
	stopping
)

// run is a run that takes room at the backend server.
type run struct {
	peer     shard.ID
	task     string
	run      int
	need     room.Room
	phase    phase
	began    clock.Millis
	worked   clock.Millis
	haltSent clock.Millis
	// born is the life of the backend server that has confirmed the start; zero while none has.
	born int64
	// confirmed is the number of the first look that was sent after the start was confirmed.
	confirmed uint64
	// unanswered says that the start got no answer, so that the run may still appear.
	unanswered bool
	// percent is how much of the task was done when that last rose, at moved.
	percent float64
	moved   clock.Millis
	// rank says how pressing the run's job is.
	rank int
	// spec is what the run starts with, and until the time at which it is given back, while it is held.
	spec  string
	until clock.Millis
	// stalled says that the run is stopped because it made no progress.
	stalled bool
	// halted says that the backend server has acknowledged a stop of the run.
	halted bool
}

// peer is a dispatcher.
type peer struct {
	id shard.ID
	up bool
	// offset is the least difference seen between this clock and the dispatcher's, and offsetAt the time up to which it has
	// been let grow.
	offset   clock.Millis
	offsetAt clock.Millis
	heard    clock.Millis
	downAt   clock.Millis
	stamp    clock.Millis
	begun    uint64
	ends     []proto.End
	lastN    uint64
	sentN    uint64
	// full says that the next report carries facts and inventory.
	full  bool
	dirty bool
	// wants is the time until which the dispatcher is told of room that becomes free.
	wants clock.Millis
	// rank says how pressing that work is.
	rank int
	// offered is the number of the last offer of room that went to the dispatcher, and round the round of offers that it was in.
	offered uint64
	round   uint64
	echoed  clock.Millis
}

// Machine is the state machine of an agent for leased runs.
type Machine struct {
	cfg      Config
	now      clock.Millis
	out      []event.Action
	instance *Instance
	// unannounced says that this life of the backend server is known by its answers only, so that its room is not known.
	unannounced bool
	gone        map[string]bool
	peers       map[shard.ID]*peer
	runs        map[string]*run
	used        room.Room
	// owed is the room that held runs need, and line their tasks in the order of arrival.
	owed room.Room
	line []string
	// strangers are runs at the backend server that this life of the agent has not started, with the time of the last stop.
	strangers map[string]clock.Millis
	settled   bool
	seen      uint64
	// acked is the number of the last end that the backend server knows to be taken note of.
	acked      uint64
	look       *Look
	lookSent   clock.Millis
	lookNumber uint64
	// quick says that the next look is answered at once.
	quick bool
	// lookAfter is when the next look may be sent.
	lookAfter   clock.Millis
	renewed     clock.Millis
	stopping    bool
	stopAt      clock.Millis
	exited      bool
	unwellUntil clock.Millis
	health      health
	// round counts the times that room became free, and offers the offers of it; offerAt is when the next one may be made, while
	// offering says that there is room to offer.
	round    uint64
	offers   uint64
	offerAt  clock.Millis
	offering bool
}

// New creates the state machine of an agent that knows nothing yet.
func New(cfg Config) *Machine {
	if cfg.IdleSilence == 0 {
		cfg.IdleSilence = cfg.Silence
	}
	return &Machine{
		cfg: cfg, gone: map[string]bool{}, peers: map[shard.ID]*peer{}, runs: map[string]*run{}, strangers: map[string]clock.Millis{},
	}
}

func (m *Machine) act(a event.Action) {
	m.out = append(m.out, a)
}

func (m *Machine) note(n event.Note) {
	m.act(n)
}
