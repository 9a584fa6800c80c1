package proto

import (
	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// Orders is a message from a dispatcher to an agent; if it has no contents it is a heartbeat.
type Orders struct {
	// Stamp is the time on the dispatcher's clock, in milliseconds; the dispatcher's authority at the agent counts from it.
	Stamp clock.Millis `cbor:"stamp"`
	// Begins lists runs to start, Halts runs to stop.
	Begins []Begin  `cbor:"begins,omitempty"`
	Halts  []RunRef `cbor:"halts,omitempty"`
	// AckedEnd is the N of the last End that the dispatcher has received.
	AckedEnd uint64 `cbor:"noted,omitempty"`
	// Want says that the dispatcher has work waiting. The agent reports at once when that begins, and for a limited time offers
	// resources that become free, to one dispatcher at a time.
	Want bool `cbor:"want,omitempty"`
	// Rank is the priority of the waiting work; free resources are offered to the lowest rank first.
	Rank int `cbor:"rank,omitempty"`
	// Cancels lists jobs to cancel that the dispatcher doesn't have; the agent relays them to its other dispatchers.
	Cancels []string `cbor:"cancels,omitempty"`
	// Cancelled answers relayed cancels of jobs that the dispatcher had.
	Cancelled []RelayedCancel `cbor:"cancelled,omitempty"`
	// Evacuated is included if the agent is not known to have a state as new.
	Evacuated *evac.State `cbor:"evacuated,omitempty"`
	// Spread lists cancels that the dispatcher knows of, which the agent remembers and relays like Cancels; they need no answer.
	Spread []KnownCancel `cbor:"spread,omitempty"`
	// SeenCancel is the LastCancel of the newest report with cancels that the dispatcher has handled.
	SeenCancel uint64 `cbor:"seen_cancel,omitempty"`
}

// CancelRetention is how long dispatchers and agents remember that a job was cancelled, in milliseconds: its request may arrive again
// as long as that.
const CancelRetention = 10 * clock.Second

// KnownCancel is a job that was cancelled some time ago.
type KnownCancel struct {
	Job   string       `cbor:"job"`
	AgeMS clock.Millis `cbor:"age_ms,omitempty"`
}

// RelayedCancel is the cancel of a job that an agent relays for a dispatcher, the asker.
type RelayedCancel struct {
	Job   string   `cbor:"job"`
	Asker shard.ID `cbor:"asker"`
	// AgeMS is how long ago the job was cancelled, in milliseconds.
	AgeMS clock.Millis `cbor:"age_ms,omitempty"`
}

// Begin starts tasks of one job at the agent.
type Begin struct {
	// Seq increases with each Begin of a session.
	Seq     uint64      `cbor:"seq"`
	Job     string      `cbor:"job"`
	Service string      `cbor:"service"`
	Spec    string      `cbor:"spec"`
	Tasks   []TaskBegin `cbor:"tasks"`
	// Rank is the priority of the job; of the runs that wait for resources at the agent, those of the lowest rank start first.
	Rank int `cbor:"rank,omitempty"`
	// Instance and Born name the incarnation of the backend server that the tasks were placed on; an agent starts them on no other. An
	// order without them is for any incarnation.
	Instance string `cbor:"instance,omitempty"`
	Born     int64  `cbor:"born,omitempty"`
}

// TaskBegin is one task of a Begin.
type TaskBegin struct {
	Task string         `cbor:"task"`
	Run  int            `cbor:"run"`
	Need room.Resources `cbor:"need"`
	// EstimateMS is how long the task is expected to run, in milliseconds.
	EstimateMS clock.Millis `cbor:"estimate_ms,omitempty"`
	// Requires is a label that the backend server must have; empty for none.
	Requires string `cbor:"requires,omitempty"`
	// Kind names what the task is alike with, for services whose kinds are kept apart.
	Kind string `cbor:"kind,omitempty"`
}

// KindShare is the share of a backend server that tasks of a kind take, from 0 to 1.
type KindShare struct {
	Kind  string  `cbor:"kind"`
	Share float64 `cbor:"share"`
}

// RunRef identifies one run of a task.
type RunRef struct {
	Task string `cbor:"task"`
	Run  int    `cbor:"run"`
}

// EndReason says how a run ended.
type EndReason string

// The ways in which a run ends.
const (
	// EndDone is a run that completed its task.
	EndDone EndReason = "done"
	// EndFailed is a run that failed because of its task or the backend server.
	EndFailed EndReason = "failed"
	// EndStopped is a run that was stopped or whose lease expired.
	EndStopped EndReason = "stopped"
	// EndStalled is a run that was stopped because it made no progress.
	EndStalled EndReason = "stalled"
	// EndNoRoom is a run that did not start because the backend server lacked the resources.
	EndNoRoom EndReason = "no_room"
	// EndNotBegun is a run that did not start for another reason.
	EndNotBegun EndReason = "not_begun"
	// EndOutdated is a run that did not start since the backend server isn't the one that it was placed on.
	EndOutdated EndReason = "outdated"
)

// End reports how a run ended; nothing of the run is still executing.
type End struct {
	// N increases with each End that the agent reports to one dispatcher.
	N    uint64    `cbor:"n"`
	Task string    `cbor:"task"`
	Run  int       `cbor:"run"`
	How  EndReason `cbor:"how"`
	// TookMS is how long the run executed, in milliseconds.
	TookMS clock.Millis `cbor:"took_ms,omitempty"`
	// Beside lists the mean shares of what ran beside the run, by kind, if it named its own.
	Beside []KindShare `cbor:"beside,omitempty"`
}

// Report is a message from an agent to a dispatcher.
type Report struct {
	// Echo repeats the newest Stamp that was received.
	Echo clock.Millis `cbor:"echo"`
	// LastBegin is the Seq of the last Begin that the report accounts for: Free, Ends and Inventory say nothing of later ones.
	LastBegin uint64         `cbor:"begun,omitempty"`
	Free      room.Resources `cbor:"free"`
	// Accepting says that the agent accepts new tasks.
	Accepting bool `cbor:"taking"`
	// Settled says that the backend server runs nothing but what this agent has accepted.
	Settled bool  `cbor:"settled"`
	Ends    []End `cbor:"ends,omitempty"`
	// Pace is the progress of the runs at the backend server lately, as estimated run time per run time; zero is unknown.
	Pace float64 `cbor:"pace,omitempty"`
	// NormalPace is the same over a longer time, without what was trouble for this backend server; zero is unknown.
	NormalPace float64 `cbor:"normal_pace,omitempty"`
	// Kinds lists what the kinds that are kept apart take at the backend server now.
	Kinds []KindShare `cbor:"kinds,omitempty"`
	// Facts is included if it changed, and in the first report of a session.
	Facts *Facts `cbor:"facts,omitempty"`
	// Inventory lists the dispatcher's runs in the first report of a session, and after each change of the backend server.
	Inventory *Inventory `cbor:"inventory,omitempty"`
	// Cancels are relayed from other dispatchers.
	Cancels []RelayedCancel `cbor:"cancels,omitempty"`
	// Cancelled lists the jobs of the dispatcher's own Cancels that another dispatcher had and has cancelled.
	Cancelled []string `cbor:"cancelled,omitempty"`
	// Evacuated is included if the dispatcher is not known to have a state as new.
	Evacuated *evac.State `cbor:"evacuated,omitempty"`
	// WarmUpMS is how much longer the backend server is slow after its start, in milliseconds.
	WarmUpMS clock.Millis `cbor:"warm_up_ms,omitempty"`
	// LastCancel is the number of the last relayed cancel that the reports up to this one cover; zero if this one has none.
	LastCancel uint64 `cbor:"last_cancel,omitempty"`
	// InForce lists the jobs of the dispatcher's own Cancels of which the agent takes no order, and neither does any dispatcher that
	// the agent knows.
	InForce []string `cbor:"in_force,omitempty"`
}

// Facts describes the backend server beside an agent.
type Facts struct {
	Agent   string         `cbor:"agent"`
	Zone    string         `cbor:"zone"`
	Service string         `cbor:"service"`
	Total   room.Resources `cbor:"total"`
	Labels  []string       `cbor:"labels,omitempty"`
	// Instance and Born name the incarnation of the backend server.
	Instance string `cbor:"instance,omitempty"`
	Born     int64  `cbor:"born,omitempty"`
}

// Inventory lists the runs that still execute or whose end is not known yet.
type Inventory struct {
	Runs []RunRef `cbor:"runs,omitempty"`
}

// Limits on times, in milliseconds, and amounts in messages: sums of larger values could overflow.
const (
	maxStamp  = clock.Millis(1) << 52
	maxAmount = int64(1) << 40
)

// MaxCancels bounds each list of cancels in a message, and maxIDLen the ids in them, in bytes.
const (
	MaxCancels = 1024
	maxIDLen   = 256
)

// MaxKindShares bounds each list of kinds in a message.
const MaxKindShares = 8

// maxPace bounds the pace of a backend server in a report.
const maxPace = 1e6

// Check returns an error if the orders contain a time, an amount or a cancel that no dispatcher sends.
func (o *Orders) Check() error {
	if o.Stamp < 0 || o.Stamp > maxStamp {
		return errors.Errorf("stamp %d", o.Stamp)
	}
	for _, b := range o.Begins {
		for _, t := range b.Tasks {
			if t.Task == "" || t.Run < 1 || !IsAmount(t.Need) {
				return errors.Errorf("task %q, run %d, need %v", t.Task, t.Run, t.Need)
			}
			if len(t.Kind) > maxIDLen {
				return errors.Errorf("kind %.40q", t.Kind)
			}
		}
	}
	if err := o.Evacuated.Check(); err != nil {
		return err
	}
	for _, c := range o.Spread {
		if !isID(c.Job) || !isAge(c.AgeMS) {
			return errors.Errorf("cancel of %.40q, %d ms ago", c.Job, c.AgeMS)
		}
	}
	if len(o.Spread) > MaxCancels {
		return errors.Errorf("%d known cancels, at most %d allowed", len(o.Spread), MaxCancels)
	}
	return checkCancels(o.Cancelled, o.Cancels)
}

// Check returns an error if the report contains a time, an amount or a cancel that no agent sends.
func (r *Report) Check() error {
	if f := r.Free; max(f.CPU, f.MemMB, f.GPU) > maxAmount || min(f.CPU, f.MemMB, f.GPU) < -maxAmount {
		return errors.Errorf("free room %v", f)
	}
	if !(r.Pace >= 0 && r.Pace <= maxPace && r.NormalPace >= 0 && r.NormalPace <= maxPace) {
		return errors.Errorf("pace %f, normal %f", r.Pace, r.NormalPace)
	}
	if r.Facts != nil && !IsAmount(r.Facts.Total) {
		return errors.Errorf("total room %v", r.Facts.Total)
	}
	for _, e := range r.Ends {
		if e.TookMS < 0 || e.TookMS > maxStamp {
			return errors.Errorf("task %q took %d", e.Task, e.TookMS)
		}
		if err := checkKinds(e.Beside); err != nil {
			return err
		}
	}
	if err := checkKinds(r.Kinds); err != nil {
		return err
	}
	if r.WarmUpMS < 0 || r.WarmUpMS > maxStamp {
		return errors.Errorf("warm-up of %d ms", r.WarmUpMS)
	}
	if err := r.Evacuated.Check(); err != nil {
		return err
	}
	if err := checkCancels(nil, r.InForce); err != nil {
		return err
	}
	return checkCancels(r.Cancels, r.Cancelled)
}

func checkKinds(list []KindShare) error {
	if len(list) > MaxKindShares {
		return errors.Errorf("%d kinds, at most %d allowed", len(list), MaxKindShares)
	}
	for _, k := range list {
		if !isID(k.Kind) || !(k.Share >= 0 && k.Share <= 1) {
			return errors.Errorf("share %f of kind %.40q", k.Share, k.Kind)
		}
	}
	return nil
}

func checkCancels(cancels []RelayedCancel, jobs []string) error {
	if max(len(cancels), len(jobs)) > MaxCancels {
		return errors.Errorf("%d and %d cancels, at most %d allowed", len(cancels), len(jobs), MaxCancels)
	}
	for _, c := range cancels {
		if !isID(c.Job) || !isID(string(c.Asker)) || !isAge(c.AgeMS) {
			return errors.Errorf("cancel of %.40q for %.40q", c.Job, c.Asker)
		}
	}
	for _, id := range jobs {
		if !isID(id) {
			return errors.Errorf("cancel of %.40q", id)
		}
	}
	return nil
}

func isAge(d clock.Millis) bool {
	return d >= 0 && d <= maxStamp
}

func isID(id string) bool {
	return id != "" && len(id) <= maxIDLen
}

// IsAmount reports whether an amount is one that backend servers have and tasks need: larger ones could overflow in sums.
func IsAmount(r room.Resources) bool {
	return min(r.CPU, r.MemMB, r.GPU) >= 0 && max(r.CPU, r.MemMB, r.GPU) <= maxAmount
}
