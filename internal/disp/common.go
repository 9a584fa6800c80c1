package disp

import (
	"math/rand/v2"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/contend"
	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/wait"
)

// Config configures a Machine; times are in milliseconds.
type Config struct {
	ID shard.ID
	// Zone is the availability zone of the dispatcher; tasks stay in it while it has room.
	Zone string
	// Beat is the time between heartbeats to an agent.
	Beat clock.Millis
	// Silence is how long an agent may be silent before its session is dropped, and how long an agent keeps the runs of a silent
	// dispatcher.
	Silence clock.Millis
	// IdleBeat and IdleSilence are the same for an agent that has no task of this dispatcher; zero stands for Beat and Silence.
	IdleBeat    clock.Millis
	IdleSilence clock.Millis
	// Lease is how long a backend server keeps running tasks after it lost its agent.
	Lease clock.Millis
	// ContactLimit is how long jobs are kept when no agent is heard of; zero stands for Silence and Lease on a slow clock.
	ContactLimit clock.Millis
	// ReattachTimeout is how long to wait for a lost session to be opened again before jobs that can't wait for the leases of
	// its runs are given up.
	ReattachTimeout clock.Millis
	// AnswerMargin is how long before the caller's deadline an answer has to be sent.
	AnswerMargin clock.Millis
	// DrainLimit is the longest time a planned stop waits for jobs.
	DrainLimit clock.Millis
	// RemoteFactor is the factor by which a task takes longer away from its data; 0 and 1 mean no difference.
	RemoteFactor float64
	// ColdFactor is the factor by which a task takes longer on a backend server that is slow after its start; 0 and 1 mean no difference.
	ColdFactor float64
	// KeepApart lists the services whose kinds of tasks are kept apart where they slow each other down; AnyService stands for all.
	KeepApart []string
	Seed      uint64
}

// Job is a job whose tasks may be repeated after a failure; times are in milliseconds.
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
	// Stretch and SLO give the objective for the response time: Stretch times the critical path of the steps, plus SLO.
	Stretch float64
	SLO     clock.Millis
	// Timeout is how long the caller waits.
	Timeout clock.Millis
}

// Step is a group of identical tasks; times are in milliseconds.
type Step struct {
	Count    int
	Need     room.Resources
	Estimate clock.Millis
	// After lists the indexes of the steps that must be done first.
	After []int
	// Requires and Near are labels that the backend server must or should have.
	Requires string
	Near     string
	// Limit is the greatest number of tasks at one backend server; zero means no limit.
	Limit int
	// Kind names what the tasks are alike with; empty stands for the job's queue.
	Kind string
}

// Submit submits a job; its Reply carries the same ticket.
type Submit struct {
	Ticket uint64
	Job    Job
}

// CallerLeft reports that the caller with a ticket has disconnected.
type CallerLeft struct {
	Ticket uint64
}

// Cancel asks to cancel a job, here or at another dispatcher; the Reply says whether the job was found, or is Unknown if the
// search was not possible.
type Cancel struct {
	Ticket uint64
	ID     string
}

// Closing announces a planned stop: every answer has to be sent within Within milliseconds.
type Closing struct {
	Within clock.Millis
}

// Members lists the agents of the deployment; the dispatcher keeps sessions open to a subset of them.
type Members struct {
	Agents []shard.Member
}

// Evacuated is the state of evacuated availability zones that was read from the store.
type Evacuated struct {
	State evac.State
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
	// Unknown means that tasks of the job may have run; none of them is still running once the resend time has passed.
	Unknown Result = "unknown"
	// Cancelled and NotFound answer a Cancel.
	Cancelled Result = "cancelled"
	NotFound  Result = "not_found"
)

// Reply answers a ticket.
type Reply struct {
	Ticket uint64
	Result Result
	// RetryAfter is how long a refused caller should wait before it retries, in milliseconds.
	RetryAfter clock.Millis
}

// CloseSession closes the session with a process.
type CloseSession struct {
	Peer shard.ID
}

type state int

const (
	// blocked tasks wait for earlier steps.
	blocked state = iota
	waiting
	sent
	// lost tasks were sent to an agent that can't be reached; they may still be running.
	lost
	done
)

type task struct {
	name  string
	step  int
	state state
	agent shard.ID
	// run is the number of the newest run, and seq the number of the order that it was sent with.
	run      int
	seq      uint64
	failures int
	// resent says that an earlier run was sent and is over, so that the next one is logged.
	resent bool
	// ran says that a run of the task may have begun.
	ran   bool
	avoid shard.ID
	// lapseAt is the time from which a lost task can no longer be running.
	lapseAt clock.Millis
}

type job struct {
	Job
	tickets   []uint64
	received  clock.Millis
	deadline  clock.Millis
	tasks     []*task
	remaining []int
	queued    wait.Job
	hasLost   bool
	// work is what ended runs of the job have used, in thousandths of a core times milliseconds.
	work int64
	// lastSent is when a task was last sent, and returned is the number of runs that agents returned for lack of room.
	lastSent clock.Millis
	returned int
}

// agentView is what a dispatcher knows of an agent.
type agentView struct {
	id         shard.ID
	name       string
	facts      proto.Facts
	free       room.Resources
	accepting  bool
	settled    bool
	attached   bool
	lastReport clock.Millis
	lastOrders clock.Millis
	// busy says that the agent has tasks of this dispatcher, and busySince is when the first of them was sent.
	busy      bool
	busySince clock.Millis
	// wantSentAt is when the agent was last told that tasks of rank wantRank are waiting; zero if the last message didn't say so.
	wantSentAt clock.Millis
	wantRank   int
	beginSeq   uint64
	ackedSeq   uint64
	inFlight   []inFlightTask
	lastEnd    uint64
	echo       echo
	// pace is the agent's measure of its backend server's speed; zero is unknown.
	pace float64
	// normalPace is the pace that is normal for that backend server, and slow its slowness when work was last placed; zero is unknown.
	normalPace float64
	slow       float64
	// kinds lists what the kinds that are kept apart take there.
	kinds       []contend.Load
	failureRate float64
	// downAt is when the session was lost; zero while it is up.
	downAt clock.Millis
	// spreadTo is the number of the last known cancel that the agent was sent, and seenCancel that of the last one that it has relayed.
	spreadTo   uint64
	seenCancel uint64
	// unchosen says that the agent is no longer chosen, so that its session is about to be closed.
	unchosen bool
	// evacuated tracks which evacuated zones the agent has heard of in this session.
	evacuated evac.Session
	// warmUntil is when the backend server has its full speed.
	warmUntil clock.Millis
	// backoffUntil is the time until which the agent gets no tasks.
	backoffUntil clock.Millis
}

type inFlightTask struct {
	seq  uint64
	need room.Resources
}

// Machine is the state machine of a dispatcher.
type Machine struct {
	cfg    Config
	now    clock.Millis
	out    []event.Action
	rng    *rand.Rand
	agents map[shard.ID]*agentView
	// ranked holds all agents, the preferred ones first. chosen holds those to which sessions are kept open, each with the
	// time at which it was chosen or last connected.
	ranked []shard.Member
	chosen map[shard.ID]clock.Millis
	// nextChoice is when agents are chosen again.
	nextChoice clock.Millis
	// sortedIDs caches the sorted ids of the agents; nil after a change.
	sortedIDs []shard.ID
	jobs      map[string]*job
	tickets   map[uint64]string
	waitQueue wait.Queue
	// retryTimes spreads the retries of refused callers over time, by queue: callers of a burst book the time of their own queue, and
	// callers of other queues return as soon as theirs has room.
	retryTimes map[string]*wait.RetrySchedule
	// guards keep room free for jobs of the first priority, by service.
	guards map[string]*wait.Reservation
	// recent remembers the results of ended jobs, and NotFound for cancelled jobs that were not known here.
	recent      map[string]outcome
	recentOrder []outcome
	// searches are the cancels of jobs that this dispatcher doesn't have, oldest first.
	searches []*search
	// known are the cancels that agents are told of, and lastKnown is the number of the last one.
	known     []knownCancel
	lastKnown uint64
	// informedAt is the newest stamp that came back from an agent: all cancels that the agent knew of then have arrived.
	informedAt clock.Millis
	// nextAskAt is when the agents may be asked again.
	nextAskAt     clock.Millis
	stopping      bool
	drainDeadline clock.Millis
	// closesAt is when the connections of callers are closed; zero while no stop is planned.
	closesAt clock.Millis
	exited   bool
	// placementDue is set when tasks may be placed.
	placementDue bool
	// wantRanks holds the lowest rank of the jobs that wait for room, by service; the lowest is the most urgent.
	wantRanks map[string]int
	timings   map[string]*timing
	evacuated evac.Register
	// apart holds what is known of kinds that slow each other down, by service.
	apart map[string]*contend.Table
	// startedAt is when the dispatcher handled its first event.
	startedAt clock.Millis
}

type outcome struct {
	id     string
	result Result
	at     clock.Millis
	// inForce says that the cancel of the job is in force everywhere.
	inForce bool
}

// timing holds the moving mean of the ratio of actual to estimated duration of a queue's tasks.
type timing struct {
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
	if cfg.ContactLimit == 0 {
		cfg.ContactLimit = cfg.Silence + cfg.Lease + cfg.Lease/clockSlackDivisor
	}
	return &Machine{
		wantRanks: map[string]int{}, chosen: map[shard.ID]clock.Millis{},
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), agents: map[shard.ID]*agentView{}, jobs: map[string]*job{},
		tickets: map[uint64]string{}, recent: map[string]outcome{}, timings: map[string]*timing{}, apart: map[string]*contend.Table{}, guards: map[string]*wait.Reservation{},
		retryTimes: map[string]*wait.RetrySchedule{},
	}
}

func (m *Machine) emit(a event.Action) {
	m.out = append(m.out, a)
}

func (m *Machine) note(n event.Note) {
	m.emit(n)
}
