package disp

import (
	"math/rand/v2"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/wait"
)

// Config is what the state machine is built from; times are in milliseconds.
type Config struct {
	ID shard.ID
	// Zone is the availability zone of the dispatcher; tasks stay in it while it has room.
	Zone string
	// Beat is the time between heartbeats to an agent.
	Beat clock.Millis
	// Silence is how long an agent may be silent, and how long an agent bears a silent dispatcher.
	Silence clock.Millis
	// IdleBeat and IdleSilence are the same for an agent that has no task of this dispatcher; zero stands for Beat and Silence.
	IdleBeat    clock.Millis
	IdleSilence clock.Millis
	// Lease is how long a backend server works on after its agent was lost.
	Lease clock.Millis
	// Reattach is how long a reset session has to come back before its runs count as lost.
	Reattach clock.Millis
	// AnswerMargin is how long before the caller's deadline an answer has to leave.
	AnswerMargin clock.Millis
	// DrainLimit is the longest time a planned stop waits for jobs.
	DrainLimit clock.Millis
	// Far is how much longer a task takes away from its data; 0 and 1 stand for no difference.
	Far  float64
	Seed uint64
}

// Job is a job that may run again after a loss; times are in milliseconds.
type Job struct {
	ID      string
	Queue   string
	Service string
	Spec    string
	Steps   []Step
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts bounds the runs of one task that end as failed.
	MaxAttempts int
	// Stretch and SLO give the objective: Stretch times the longest chain of work, and SLO more.
	Stretch float64
	SLO     clock.Millis
	// Patience is how long the caller waits.
	Patience clock.Millis
}

// Step is a group of tasks that are alike.
type Step struct {
	Count    int
	Need     room.Room
	Estimate clock.Millis
	// After lists the steps that must be done first.
	After []int
	// Requires and Near are labels that the backend server must or should have.
	Requires string
	Near     string
	// Limit is the greatest number of tasks at one backend server; zero means no limit.
	Limit int
}

// Submit hands a job in; the answer carries the same ticket.
type Submit struct {
	Ticket uint64
	Job    Job
}

// Leave tells that the caller with a ticket has gone.
type Leave struct {
	Ticket uint64
}

// Cancel asks for the end of a job; Reply says whether it was known.
type Cancel struct {
	Ticket uint64
	ID     string
}

// Members sets the agents among which those are chosen to which sessions are kept open.
type Members struct {
	Agents []shard.Member
}

// Result says how a job was answered.
type Result string

// The results of jobs.
const (
	// Completed and Failed are final.
	Completed Result = "completed"
	Failed    Result = "failed"
	// Refused means that nothing of the job has run or will run.
	Refused Result = "refused"
	// Unknown means that tasks of the job may have run; nothing of it runs any more once the resend time has passed.
	Unknown Result = "unknown"
	// Cancelled and NotFound answer a Cancel.
	Cancelled Result = "cancelled"
	NotFound  Result = "not_found"
)

// Reply answers a ticket.
type Reply struct {
	Ticket uint64
	Result Result
	// RetryAfter is when a refused caller may come back, in milliseconds.
	RetryAfter clock.Millis
}

// Drop closes the session with a process.
type Drop struct {
	Peer shard.ID
}

type state int

const (
	// blocked tasks wait for earlier steps.
	blocked state = iota
	waiting
	sent
	// lost tasks were sent to an agent that can't be reached.
	lost
	done
)

type task struct {
	name  string
	step  int
	state state
	agent shard.ID
	run   int
	fails int
	// ran says that a run of the task may have begun.
	ran   bool
	avoid shard.ID
	// clear is when a lost task can't be at work any more.
	clear clock.Millis
}

type job struct {
	Job
	tickets  []uint64
	received clock.Millis
	deadline clock.Millis
	tasks    []*task
	left     []int
	line     wait.Job
	stuck    bool
	// placed is when a task was last sent, and returned the number of runs that came back for want of room.
	placed   clock.Millis
	returned int
}

// agentView is what a dispatcher knows of an agent.
type agentView struct {
	id       shard.ID
	name     string
	facts    proto.Facts
	free     room.Room
	taking   bool
	settled  bool
	attached bool
	heard    clock.Millis
	beaten   clock.Millis
	// busy says that tasks of this dispatcher are there, and busySince when the first of them was sent.
	busy      bool
	busySince clock.Millis
	// wanted is when the agent was last told that work of rank wantedRank waits; zero if it was last told that none does.
	wanted     clock.Millis
	wantedRank int
	seq        uint64
	begun      uint64
	flight     []flight
	noted      uint64
	slow       float64
	failing    float64
	// downAt is when the session was lost; zero while it is up.
	downAt clock.Millis
	// unchosen says that the session is about to be closed, since the choice of agents has changed.
	unchosen bool
	// shunned is the time until which nothing is sent there.
	shunned clock.Millis
}

type flight struct {
	seq  uint64
	need room.Room
}

// Machine is the state machine of a dispatcher.
type Machine struct {
	cfg    Config
	now    clock.Millis
	out    []event.Action
	rng    *rand.Rand
	agents map[shard.ID]*agentView
	// ranked holds all agents, the preferred ones first, and chosen those to which sessions are kept open, by the time at
	// which they were chosen.
	ranked []shard.Member
	chosen map[shard.ID]clock.Millis
	// chooseAt is when the choice is looked at again.
	chooseAt clock.Millis
	// sorted holds the ids of agents in order; nil after a change.
	sorted  []shard.ID
	jobs    map[string]*job
	tickets map[uint64]string
	line    wait.Line
	// returns tells refused callers when to come back.
	returns wait.Returns
	// guards keep room for jobs of the first priority, by service.
	guards map[string]*wait.Guard
	// recent remembers the results of ended jobs.
	recent   map[string]outcome
	recentQ  []outcome
	stopping bool
	stopAt   clock.Millis
	exited   bool
	// work is set when tasks may be placed.
	work bool
	// wants holds the rank of the most pressing work that waits for room, by service.
	wants map[string]int
	rates map[string]*rate
	// born is when the dispatcher handled its first event.
	born clock.Millis
}

type outcome struct {
	id     string
	result Result
	at     clock.Millis
}

// rate relates the time that tasks of a queue take to what was estimated.
type rate struct {
	ratio float64
}

// New creates a dispatcher that knows no agents.
func New(cfg Config) *Machine {
	if cfg.IdleBeat == 0 {
		cfg.IdleBeat = cfg.Beat
	}
	if cfg.IdleSilence == 0 {
		cfg.IdleSilence = cfg.Silence
	}
	return &Machine{
		wants: map[string]int{}, chosen: map[shard.ID]clock.Millis{},
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), agents: map[shard.ID]*agentView{}, jobs: map[string]*job{},
		tickets: map[uint64]string{}, recent: map[string]outcome{}, rates: map[string]*rate{}, guards: map[string]*wait.Guard{},
	}
}

func (m *Machine) act(a event.Action) {
	m.out = append(m.out, a)
}

func (m *Machine) note(n event.Note) {
	m.act(n)
}
