package proto

import (
	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/room"
)

// Orders is what a dispatcher sends an agent; one without contents is a heartbeat.
type Orders struct {
	// Stamp is the time on the dispatcher's clock, in milliseconds; the dispatcher's authority at the agent is counted from it.
	Stamp clock.Millis `cbor:"stamp"`
	// Begins start tasks; Halts stop them.
	Begins []Begin  `cbor:"begins,omitempty"`
	Halts  []RunRef `cbor:"halts,omitempty"`
	// Noted is the number of the last end that the dispatcher has received.
	Noted uint64 `cbor:"noted,omitempty"`
	// Want asks to be told at once of changes of the agent's room, for a while.
	Want bool `cbor:"want,omitempty"`
	// Rank says how pressing the work is that waits; room is offered to the lowest rank first.
	Rank int `cbor:"rank,omitempty"`
}

// Begin starts tasks of one job at the agent.
type Begin struct {
	// Seq rises with each Begin of a session.
	Seq     uint64      `cbor:"seq"`
	Job     string      `cbor:"job"`
	Service string      `cbor:"service"`
	Spec    string      `cbor:"spec"`
	Tasks   []TaskBegin `cbor:"tasks"`
	// Rank says how pressing the job is; of the runs that wait for room at the agent those of the lowest rank start first.
	Rank int `cbor:"rank,omitempty"`
}

// TaskBegin is one task of a Begin.
type TaskBegin struct {
	Task string    `cbor:"task"`
	Run  int       `cbor:"run"`
	Need room.Room `cbor:"need"`
	// EstimateMS is how long the task is expected to run, in milliseconds.
	EstimateMS clock.Millis `cbor:"estimate_ms,omitempty"`
}

// RunRef names one run of a task.
type RunRef struct {
	Task string `cbor:"task"`
	Run  int    `cbor:"run"`
}

// How says in which way a run ended.
type How string

// The ways in which a run ends.
const (
	// HowDone is a task that did all its work.
	HowDone How = "done"
	// HowFailed is a task that failed by its own fault or the backend server's.
	HowFailed How = "failed"
	// HowStopped is a run that was stopped or whose lease lapsed.
	HowStopped How = "stopped"
	// HowStalled is a run that was stopped because it made no progress.
	HowStalled How = "stalled"
	// HowNoRoom is a run that did not begin because the backend server was full.
	HowNoRoom How = "no_room"
	// HowNotBegun is a run that did not begin for another reason.
	HowNotBegun How = "not_begun"
)

// End tells how a run ended; nothing of the run is at work any more.
type End struct {
	// N rises with each end that the agent reports to one dispatcher.
	N    uint64 `cbor:"n"`
	Task string `cbor:"task"`
	Run  int    `cbor:"run"`
	How  How    `cbor:"how"`
	// TookMS is how long the run was at work, in milliseconds.
	TookMS clock.Millis `cbor:"took_ms,omitempty"`
}

// Report is what an agent sends a dispatcher.
type Report struct {
	// Echo repeats the newest Stamp that was received.
	Echo clock.Millis `cbor:"echo"`
	// Begun is the Seq of the last Begin that Free takes into account.
	Begun uint64    `cbor:"begun,omitempty"`
	Free  room.Room `cbor:"free"`
	// Taking says that the agent accepts new tasks.
	Taking bool `cbor:"taking"`
	// Settled says that nothing runs there but what the agent has accepted itself.
	Settled bool  `cbor:"settled"`
	Ends    []End `cbor:"ends,omitempty"`
	// Facts is included when it changed and in the first report of a session.
	Facts *Facts `cbor:"facts,omitempty"`
	// Inventory lists the dispatcher's runs in the first report of a session.
	Inventory *Inventory `cbor:"inventory,omitempty"`
}

// Facts describes the backend server beside an agent.
type Facts struct {
	Agent   string    `cbor:"agent"`
	Zone    string    `cbor:"zone"`
	Service string    `cbor:"service"`
	Total   room.Room `cbor:"total"`
	Labels  []string  `cbor:"labels,omitempty"`
}

// Inventory lists runs that are at work or whose end is not known yet.
type Inventory struct {
	Runs []RunRef `cbor:"runs,omitempty"`
}

// Bounds on amounts in messages: times and numbers that are larger can't be added to each other safely.
const (
	maxStamp  = clock.Millis(1) << 52
	maxAmount = int64(1) << 40
)

// Check returns why orders can't be followed: a time or an amount that no dispatcher sends.
func (o *Orders) Check() error {
	if o.Stamp < 0 || o.Stamp > maxStamp {
		return errors.Errorf("stamp %d", o.Stamp)
	}
	for _, b := range o.Begins {
		for _, t := range b.Tasks {
			if t.Task == "" || t.Run < 1 || !isAmount(t.Need) {
				return errors.Errorf("task %q, run %d, need %v", t.Task, t.Run, t.Need)
			}
		}
	}
	return nil
}

// Check returns why a report can't be taken: a number or an amount that no agent sends.
func (r *Report) Check() error {
	if f := r.Free; max(f.CPU, f.MemMB, f.GPU) > maxAmount || min(f.CPU, f.MemMB, f.GPU) < -maxAmount {
		return errors.Errorf("free room %v", f)
	}
	if r.Facts != nil && !isAmount(r.Facts.Total) {
		return errors.Errorf("total room %v", r.Facts.Total)
	}
	for _, e := range r.Ends {
		if e.TookMS < 0 || e.TookMS > maxStamp {
			return errors.Errorf("task %q took %d", e.Task, e.TookMS)
		}
	}
	return nil
}

func isAmount(r room.Room) bool {
	return min(r.CPU, r.MemMB, r.GPU) >= 0 && max(r.CPU, r.MemMB, r.GPU) <= maxAmount
}
