package proto

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/pkg/label"
)

// Message has exactly one field set; a frame may contain many messages.
type Message struct {
	Hello             *Hello             `cbor:"hello,omitempty"`
	Ping              *Ping              `cbor:"ping,omitempty"`
	Pong              *Pong              `cbor:"pong,omitempty"`
	Beat              *Beat              `cbor:"beat,omitempty"`
	Join              *Join              `cbor:"join,omitempty"`
	Forward           *Forward           `cbor:"forward,omitempty"`
	Answer            *Answer            `cbor:"answer,omitempty"`
	Cancel            *Cancel            `cbor:"cancel,omitempty"`
	Start             *Start             `cbor:"start,omitempty"`
	Result            *Result            `cbor:"result,omitempty"`
	Ack               *Ack               `cbor:"ack,omitempty"`
	Revoke            *Revoke            `cbor:"revoke,omitempty"`
	Fence             *Fence             `cbor:"fence,omitempty"`
	Fenced            *Fenced            `cbor:"fenced,omitempty"`
	Handover          *Handover          `cbor:"handover,omitempty"`
	Handovers         *Handovers         `cbor:"handovers,omitempty"`
	Check             *Check             `cbor:"check,omitempty"`
	Checked           *Checked           `cbor:"checked,omitempty"`
	RecordTransfer    *RecordTransfer    `cbor:"custody,omitempty"`
	RecordTransferAck *RecordTransferAck `cbor:"taken,omitempty"`
	Orders            *Orders            `cbor:"orders,omitempty"`
	Report            *Report            `cbor:"report,omitempty"`
}

// Role says what kind of process sent a Hello.
type Role string

// The roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello is the first message of each side of a session.
type Hello struct {
	ID   shard.ID `cbor:"id"`
	Role Role     `cbor:"role"`
}

// Load is the load of an agent and whether it accepts new tasks.
type Load struct {
	Slots   int `cbor:"slots" json:"slots"`
	Running int `cbor:"running" json:"running"`
	Queued  int `cbor:"queued" json:"queued"`
	// UrgentQueued counts the urgent tasks among the queued ones.
	UrgentQueued int `cbor:"urgent_queued,omitempty" json:"urgent_queued,omitempty"`
	// Held counts finished tasks of the receiver whose results are held back to be sent with others of their job.
	Held    int  `cbor:"held,omitempty" json:"held,omitempty"`
	Leaving bool `cbor:"leaving,omitempty" json:"leaving,omitempty"`
	Ejected bool `cbor:"ejected,omitempty" json:"ejected,omitempty"`
	// Lapsed says that the agent's lease has expired, so that it starts only repeatable tasks.
	Lapsed bool `cbor:"lapsed,omitempty" json:"lapsed,omitempty"`
	// Trial says that an ejection has ended and the agent accepts a single task to test the backend server.
	Trial bool `cbor:"trial,omitempty" json:"trial,omitempty"`
}

// Ping is an agent's heartbeat; Sent is the time on the agent's clock, in milliseconds, at which it was sent.
type Ping struct {
	Sent          clock.Millis `cbor:"sent"`
	MapVersion    uint64       `cbor:"map_version"`
	ConfigVersion uint64       `cbor:"config_version"`
	Worker        string       `cbor:"worker"`
	Zone          string       `cbor:"zone"`
	Labels        label.Set    `cbor:"labels,omitempty"`
	Load          Load         `cbor:"load"`
	Gone          bool         `cbor:"gone,omitempty"`
	// Handed says that the records of the agent that is gone were transferred to another agent.
	Handed bool `cbor:"handed,omitempty"`
}

// Pong replies to a Ping and repeats its Sent time; the map is included only if the agent's is older.
type Pong struct {
	Sent          clock.Millis `cbor:"sent"`
	MapVersion    uint64       `cbor:"map_version"`
	ConfigVersion uint64       `cbor:"config_version"`
	Map           *shard.Map   `cbor:"map,omitempty"`
	// MapConfirmed confirms that, ConfirmedAge milliseconds before the Ping arrived, no entry in the map of this version had
	// written another map.
	MapConfirmed bool         `cbor:"vouched,omitempty"`
	ConfirmedAge clock.Millis `cbor:"age,omitempty"`
}

// Beat is the heartbeat between entries; the map and the configuration are included only if the receiver's are older.
type Beat struct {
	// Sent is the time on the sender's clock, in milliseconds.
	Sent clock.Millis `cbor:"sent"`
	// Echo repeats the Sent of the receiver's latest heartbeat; it is unset while the outcome of a map write by the sender
	// is unknown.
	Echo          clock.Millis     `cbor:"echo,omitempty"`
	MapVersion    uint64           `cbor:"map_version"`
	ConfigVersion uint64           `cbor:"config_version"`
	Map           *shard.Map       `cbor:"map,omitempty"`
	Config        *policy.Document `cbor:"config,omitempty"`
}

// Join asks a member of the map to add the sender to it.
type Join struct {
	Member shard.Member `cbor:"member"`
}

// Task is the input of one task of a job.
type Task struct {
	Payload []byte `cbor:"payload"`
}

// Job is a job as the caller submitted it; Budget is the time left until its deadline, in milliseconds.
type Job struct {
	Key    shard.Key    `cbor:"key"`
	ID     string       `cbor:"id"`
	Tenant string       `cbor:"tenant"`
	Labels label.Set    `cbor:"labels,omitempty"`
	Budget clock.Millis `cbor:"budget"`
	Digest uint64       `cbor:"digest"`
	Tasks  []Task       `cbor:"tasks"`
}

// Forward passes a submission to the owner of its shard.
type Forward struct {
	Job Job `cbor:"job"`
	// Wait is false if the sender may only attach to a known job and nothing may be started.
	Wait bool `cbor:"wait"`
	// Number increases with each Forward of the sender.
	Number uint64 `cbor:"number,omitempty"`
	// Epoch is the epoch of the job's shard in the sender's map; under another one the sender forwards the job again.
	Epoch uint64 `cbor:"epoch,omitempty"`
}

// Status is the outcome of a job.
type Status string

// The outcomes of a job.
const (
	StatusComplete Status = "complete"
	StatusFailed   Status = "failed"
	StatusRefused  Status = "refused"
)

// Ran says whether any task of a job id was ever started.
type Ran string

// The values of Ran: no task was started, at least one was, or it is unknown.
const (
	RanNo      Ran = "not_run"
	RanYes     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Reason is a fixed word for why a job was not completed or a task was refused.
type Reason string

// The reasons for refusals and failures.
const (
	ReasonDenied     Reason = "denied"
	ReasonQuota      Reason = "quota"
	ReasonOverload   Reason = "overload"
	ReasonNoWorker   Reason = "no_worker"
	ReasonConflict   Reason = "other_content"
	ReasonDeadline   Reason = "deadline"
	ReasonCancelled  Reason = "cancelled"
	ReasonTaskFailed Reason = "task_failed"
	ReasonLost       Reason = "worker_lost"
	ReasonUncertain  Reason = "records_lost"
	ReasonStopping   Reason = "stopping"
	ReasonUnknownJob Reason = "unknown_job"
	ReasonStale      Reason = "stale"
	ReasonOwner      Reason = "owner_unreachable"
)

// Answer is the complete answer to a job; Results has one element per task if and only if Status is StatusComplete.
type Answer struct {
	Key        shard.Key    `cbor:"key"`
	Digest     uint64       `cbor:"digest"`
	Status     Status       `cbor:"status"`
	Run        Ran          `cbor:"run"`
	Reason     Reason       `cbor:"reason,omitempty"`
	RetryAfter clock.Millis `cbor:"retry_after,omitempty"`
	Results    [][]byte     `cbor:"results,omitempty"`
	// Starts counts the starts of the job's tasks that the owner knows of.
	Starts int `cbor:"starts,omitempty"`
	// Forward is the Number of the receiver's last Forward that is answered; entries of older versions leave it out.
	Forward uint64 `cbor:"forward,omitempty"`
}

// Cancel asks the owner of a job's shard to cancel the job.
type Cancel struct {
	Key shard.Key `cbor:"key"`
}

// Item is one task to be started; Index counts from 0 within the job and Attempt from 1.
type Item struct {
	Index   int    `cbor:"index"`
	Attempt int    `cbor:"attempt"`
	Payload []byte `cbor:"payload"`
}

// Start asks an agent to run tasks of one job under the owner's epoch; Budget is in milliseconds.
type Start struct {
	Shard      int       `cbor:"shard"`
	Epoch      uint64    `cbor:"epoch"`
	Key        shard.Key `cbor:"key"`
	Job        string    `cbor:"job"`
	Tenant     string    `cbor:"tenant"`
	Kind       string    `cbor:"kind,omitempty"`
	Digest     uint64    `cbor:"digest"`
	Urgent     bool      `cbor:"urgent,omitempty"`
	Repeatable bool      `cbor:"repeatable,omitempty"`
	// Immediate asks for a refusal if no slot is free, so that the task can be sent to another agent.
	Immediate bool `cbor:"now,omitempty"`
	// Reserve is the number of slots that the agent keeps free for urgent tasks.
	Reserve int          `cbor:"reserve,omitempty"`
	Budget  clock.Millis `cbor:"budget"`
	Items   []Item       `cbor:"items"`
}

// State is what an agent knows of a task.
type State int

// The states of a task at an agent; StateRefused means that this attempt was not started and never will be.
const (
	StateQueued State = iota + 1
	StateRunning
	StateDone
	StateFailed
	StateRefused
)

// Outcome is the state of one task; Refusal is set if it was refused, and RunTime is in milliseconds.
type Outcome struct {
	Index   int          `cbor:"index"`
	Attempt int          `cbor:"attempt"`
	State   State        `cbor:"state"`
	Refusal Reason       `cbor:"refusal,omitempty"`
	RunTime clock.Millis `cbor:"run_time,omitempty"`
	Output  []byte       `cbor:"output,omitempty"`
	// Dropped says that the task is done but its output is no longer kept.
	Dropped bool `cbor:"dropped,omitempty"`
	// RanBefore says of an attempt after the first, unless it has ended, whether the agent may have run an earlier one; agents
	// of older versions leave it out.
	RanBefore Ran `cbor:"ran_before,omitempty"`
}

// MayHaveRunBefore reports whether the agent may have run an earlier attempt of the task.
func (o *Outcome) MayHaveRunBefore() bool {
	if o.RanBefore == "" {
		return o.Attempt > 1
	}
	return o.RanBefore != RanNo
}

// Result reports finished or refused tasks of one job to the owner of its shard.
type Result struct {
	Shard    int       `cbor:"shard"`
	Key      shard.Key `cbor:"key"`
	Digest   uint64    `cbor:"digest"`
	Outcomes []Outcome `cbor:"outcomes"`
	Load     Load      `cbor:"load"`
}

// Ack tells an agent that the owner has stored the outcomes of these tasks.
type Ack struct {
	Key     shard.Key `cbor:"key"`
	Indexes []int     `cbor:"indexes"`
}

// Revoke tells an agent that a job has ended: queued tasks are refused and running ones are aborted.
type Revoke struct {
	Key shard.Key `cbor:"key"`
}

// Name returns the name of the field that is set, or "empty".
func (m *Message) Name() string {
	switch {
	case m.Hello != nil:
		return "hello"
	case m.Ping != nil:
		return "ping"
	case m.Pong != nil:
		return "pong"
	case m.Beat != nil:
		return "beat"
	case m.Join != nil:
		return "join"
	case m.Forward != nil:
		return "forward"
	case m.Answer != nil:
		return "answer"
	case m.Cancel != nil:
		return "cancel"
	case m.Start != nil:
		return "start"
	case m.Result != nil:
		return "result"
	case m.Ack != nil:
		return "ack"
	case m.Revoke != nil:
		return "revoke"
	}
	return m.takeoverName()
}

func (m *Message) takeoverName() string {
	switch {
	case m.Fence != nil:
		return "fence"
	case m.Fenced != nil:
		return "fenced"
	case m.Handover != nil:
		return "handover"
	case m.Handovers != nil:
		return "handovers"
	case m.Check != nil:
		return "check"
	case m.Checked != nil:
		return "checked"
	case m.RecordTransfer != nil:
		return "custody"
	case m.RecordTransferAck != nil:
		return "taken"
	}
	return "empty"
}

// IsWork reports whether a message is sent on behalf of a job.
func (m *Message) IsWork() bool {
	return m.Forward != nil || m.Answer != nil || m.Start != nil || m.Result != nil || m.Revoke != nil ||
		m.Cancel != nil || m.Check != nil || m.Checked != nil
}
