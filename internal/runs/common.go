package runs

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// Config configures the state machine; times are in milliseconds.
type Config struct {
	// ID names this incarnation of the agent, Name the instance.
	ID   shard.ID
	Name string
	// Zone is the availability zone of the instance.
	Zone string
	// Token is the first fencing token of this incarnation. It is above those of earlier ones unless the time of day was set back.
	Token uint64
	// Lease is how long a backend server keeps running tasks without a renewal.
	Lease clock.Millis
	// Silence is how long a dispatcher may be silent before its runs are stopped.
	Silence clock.Millis
	// IdleSilence is how long a dispatcher without runs may be silent before its session is closed; zero stands for Silence.
	IdleSilence clock.Millis
	// Reattach is how long a dispatcher has for a new session after the old one was reset.
	Reattach clock.Millis
	// PollWait is how long the backend server waits for a run to end before it answers a poll.
	PollWait clock.Millis
	// OrderTimeout is how long an answer to an order may take.
	OrderTimeout clock.Millis
	// DrainLimit is the longest time a planned stop waits for running tasks.
	DrainLimit clock.Millis
	// EvacuationWait bounds how long no task is accepted after the start until the evacuated availability zones are known; zero does
	// not wait.
	EvacuationWait clock.Millis
}

// ClockSlack allows for a backend server's clock that is slower than the agent's, as a divisor of the elapsed time.
const ClockSlack = 40

// Instance describes one incarnation of the backend server.
type Instance struct {
	ID string
	// Born is the Unix time in milliseconds at which this incarnation started.
	Born     int64
	Service  string
	Zone     string
	Labels   []string
	Total    room.Resources
	Draining bool
	Seq      uint64
	// WarmUp is how much longer the backend server is slow after its start, in milliseconds.
	WarmUp clock.Millis
}

// Incarnation identifies an incarnation of the backend server, which may start again under the id that it had.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the incarnation that the instance describes.
func (in *Instance) Incarnation() Incarnation {
	return Incarnation{ID: in.ID, Born: in.Born}
}

// Announced is a heartbeat of the backend server.
type Announced struct {
	Instance Instance
}

// InstanceLeft announces the planned end of the backend server, whose process goes on for a moment.
type InstanceLeft struct {
	ID string
}

// Evacuated is the state of evacuated availability zones that was read from the store.
type Evacuated struct {
	State evac.State
}

// StartRun asks the backend server to start a run.
type StartRun struct {
	Instance string
	Task     string
	Run      int
	// Token is the fencing token of the agent.
	Token uint64
	Spec  string
	// Born names the incarnation of the instance whose clock the lease is counted on.
	Born int64
	// At is when the start was decided. Lease is how long all runs at the backend server may continue from then, in milliseconds; a
	// call that is made later gets no longer lease.
	At      clock.Millis
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

// Outcome is the result of an order.
type Outcome string

// The outcomes of orders.
const (
	// OrderDone means that the order was carried out.
	OrderDone Outcome = "done"
	// OrderFenced means that nothing was done, since the backend server has seen a higher fencing token.
	OrderFenced Outcome = "fenced"
	// OrderNoRoom, OrderOld and OrderRefused mean that nothing was done.
	OrderNoRoom  Outcome = "no_room"
	OrderOld     Outcome = "old"
	OrderRefused Outcome = "refused"
	// OrderGone means that this incarnation of the backend server has ended.
	OrderGone Outcome = "gone"
	// OrderUnreachable means that nothing was done, since no process accepts connections at the backend server's address.
	OrderUnreachable Outcome = "unreachable"
	// OrderUnknown means that no answer came; the order may be carried out later.
	OrderUnknown Outcome = "unknown"
)

// HaltRun asks the backend server to stop a run.
type HaltRun struct {
	Instance string
	Task     string
	Run      int
	// Token is the fencing token of the agent.
	Token   uint64
	Timeout clock.Millis
}

// HaltDone is the outcome of a HaltRun.
type HaltDone struct {
	Task    string
	Run     int
	Outcome Outcome
	Born    int64
}

// Poll asks the backend server for its runs and renews the lease of all of them.
type Poll struct {
	Instance string
	// Token is the fencing token of the agent.
	Token uint64
	// Born names the incarnation of the instance whose clock the lease is counted on.
	Born int64
	// At is when the poll was decided. Lease is how long all runs at the backend server may continue from then, in milliseconds; zero
	// renews nothing.
	At    clock.Millis
	Lease clock.Millis
	// AckedEnd is the number of the last end that the agent has processed.
	AckedEnd uint64
	Wait     clock.Millis
	Timeout  clock.Millis
	// Number identifies the poll.
	Number uint64
}

// PollDone is the result of a Poll.
type PollDone struct {
	Number  uint64
	Outcome Outcome
	Born    int64
	// Clock is the time on the backend server's clock, in milliseconds, at which it made the lists; zero if it is unknown.
	Clock   int64
	Running []Running
	Ended   []Ended
}

// Running is a run in progress at the backend server.
type Running struct {
	Task string
	Run  int
	// Percent is the progress of the task.
	Percent float64
}

// Ended is a run that has ended at the backend server.
type Ended struct {
	N    uint64
	Task string
	Run  int
	How  proto.EndReason
	// Lapsed says that the lease lapsed.
	Lapsed bool
}

// CloseSession closes the session with a peer.
type CloseSession struct {
	Peer shard.ID
}

type phase int

const (
	// queued runs wait at the agent for capacity and take none.
	queued phase = iota
	starting
	running
	stopping
)

// run is a run that takes capacity at the backend server or is queued for it.
type run struct {
	peer         shard.ID
	task         string
	run          int
	need         room.Resources
	phase        phase
	startedAt    clock.Millis
	workingSince clock.Millis
	haltSentAt   clock.Millis
	// incarnation is the Born that the backend server named in the answer to the start or in a list of runs; zero until then.
	incarnation int64
	// confirmed says that the backend server has confirmed the start.
	confirmed bool
	// firstPoll is the number of the first poll sent after the start or a stop was confirmed; zero until then.
	firstPoll uint64
	// startUncertain says that the start got no answer, so the run may still appear.
	startUncertain bool
	// startPending says that the start may still be answered.
	startPending bool
	// startPoll is the number of the first poll sent after the start, and absent how many lists of such polls lack the run.
	startPoll uint64
	absent    int
	// haltRepeats counts the repeated stops.
	haltRepeats int
	// estimate is the estimated run time in milliseconds; polledPercent and polledAt are the progress of the last poll.
	estimate      clock.Millis
	polledPercent float64
	polledAt      clock.Millis
	// percent is how much of the task was done at the last progress, at progressAt.
	percent    float64
	progressAt clock.Millis
	// rank is the priority of the run's job; the lowest comes first.
	rank int
	// target is what the run was placed on.
	target target
	// kind names what the run is alike with, and counted says that it is one of the kinds that are told apart.
	kind    string
	counted bool
	mark    startMark
	// spec is the input of the run; a queued run is returned to its dispatcher at queueDeadline.
	spec          string
	queueDeadline clock.Millis
	// stalled says that the run is stopped because it made no progress.
	stalled bool
	// halted says that the backend server has acknowledged a stop of the run.
	halted bool
	// revokedAt is when the run's dispatcher ordered its end or was lost; zero until then.
	revokedAt clock.Millis
}

// peer is a dispatcher.
type peer struct {
	id shard.ID
	up bool
	// offset is the smallest difference seen between this clock and the dispatcher's, raised for clock drift up to the
	// time offsetAt.
	offset   clock.Millis
	offsetAt clock.Millis
	// lastHeard is when the dispatcher sent its newest stamp, on this clock: its authority counts from it.
	lastHeard clock.Millis
	// upAt is when the session began, downAt when it ended.
	upAt        clock.Millis
	downAt      clock.Millis
	lastStamp   clock.Millis
	lastBegin   uint64
	unackedEnds []proto.End
	lastEnd     uint64
	lastSentEnd uint64
	// full says that the next report carries facts and inventory.
	full  bool
	dirty bool
	// wantsUntil is the time until which the dispatcher is offered capacity that becomes free.
	wantsUntil clock.Millis
	// rank is the priority of the dispatcher's waiting work; the lowest comes first.
	rank int
	// lastOfferNumber is the number of the last capacity offer to the dispatcher, and offerRound the round that it belonged to.
	lastOfferNumber uint64
	offerRound      uint64
	reportedAt      clock.Millis
	// lastCancel is the number of the last relayed cancel that the dispatcher has been sent.
	lastCancel uint64
	// evacuated tracks which evacuated zones the dispatcher has heard of in this session.
	evacuated evac.Session
	// cancelled lists the dispatcher's cancels that another one has confirmed since the last report, inForce those that hold.
	cancelled []string
	inForce   []string
	// seenCancel is the number of the last relayed cancel that the dispatcher has handled.
	seenCancel uint64
}

// Machine is the state machine of an agent for leased runs.
type Machine struct {
	cfg      Config
	now      clock.Millis
	out      []event.Action
	instance *Instance
	// unannounced says that this incarnation is known only from answers to orders, so its capacity is unknown.
	unannounced bool
	// leaving says that the backend server has announced its end, while its runs may go on.
	leaving bool
	// departed holds the incarnations that have announced their end; their late heartbeats are ignored.
	departed map[Incarnation]bool
	// denied is the latest incarnation that was followed by one with an earlier time of start under the same id.
	denied Incarnation
	// olderBorn is the time of start in the last answered polls if it is earlier than the known one, and olderAnswers their number.
	olderBorn    int64
	olderAnswers int
	peers        map[shard.ID]*peer
	runs         map[string]*run
	used         room.Resources
	// queuedNeed is the capacity that queued runs need, and queue their tasks by rank, then in the order of arrival.
	queuedNeed room.Resources
	queue      []string
	// orphans are runs at the backend server that this incarnation of the agent did not start, with the time of the last stop.
	orphans map[string]clock.Millis
	settled bool
	// lastEndReported numbers the ends that are reported to any dispatcher: one that was forgotten and comes back may still
	// acknowledge what it was sent before.
	lastEndReported uint64
	lastEndSeen     uint64
	// lastEndAcked is the number of the last end whose processing the backend server has been told of.
	lastEndAcked uint64
	// unansweredUntil is how long an order without an answer may still be carried out, also by the next process at the backend server.
	unansweredUntil clock.Millis
	// awaited is the backend server whose process has ended and may start again under its id; nil if none is awaited.
	awaited    *Instance
	poll       *Poll
	pollSentAt clock.Millis
	lastPoll   uint64
	// pollAtOnce says that the next poll is answered at once.
	pollAtOnce bool
	// nextPollAt is when the next poll may be sent.
	nextPollAt     clock.Millis
	leaseRenewedAt clock.Millis
	fence          fence
	// lapsing says that a stop of a revoked run is overdue, so that all leases lapse.
	lapsing       bool
	stopping      bool
	drainDeadline clock.Millis
	exited        bool
	backoffUntil  clock.Millis
	health        health
	answers       answerTimes
	probing       probing
	// listedAt is the greatest Clock of the lists of this incarnation.
	listedAt int64
	// answeredAt is when the backend server last answered, and lossyUntil how long it counts as one that loses answers.
	answeredAt clock.Millis
	lossyUntil clock.Millis
	usage      usage
	pace       pace
	beside     beside
	// offerRound counts the times that capacity became free, lastOffer the offers; nextOfferAt is when the next may be made, and
	// offering says that there is capacity to offer.
	offerRound  uint64
	lastOffer   uint64
	nextOfferAt clock.Millis
	offering    bool
	// cancels are relayed between dispatchers, oldest first; lastCancel is the number of the last one.
	cancels    []cancel
	lastCancel uint64
	evacuated  evac.Register
	// awaitsEvacuated says that no task is accepted until the evacuated zones are known or the time evacuatedBy.
	awaitsEvacuated bool
	evacuatedBy     clock.Millis
	// warmUntil is when the backend server has its full speed.
	warmUntil clock.Millis
	// cancelledAt holds when each cancelled job was cancelled; nothing of these jobs starts.
	cancelledAt map[string]clock.Millis
}

// New creates the state machine of an agent without a backend server or sessions.
func New(cfg Config) *Machine {
	if cfg.IdleSilence == 0 {
		cfg.IdleSilence = cfg.Silence
	}
	return &Machine{
		cfg: cfg, fence: fence{token: cfg.Token, step: fenceStep}, departed: map[Incarnation]bool{}, peers: map[shard.ID]*peer{}, runs: map[string]*run{},
		orphans: map[string]clock.Millis{}, cancelledAt: map[string]clock.Millis{}, awaitsEvacuated: cfg.EvacuationWait > 0,
	}
}

func (m *Machine) emit(a event.Action) {
	m.out = append(m.out, a)
}

func (m *Machine) note(n event.Note) {
	m.emit(n)
}
