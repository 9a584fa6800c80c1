package entry

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

type taskState int

const (
	taskPending taskState = iota
	taskQueued
	taskSent
	taskDone
	taskFailed
)

type task struct {
	state   taskState
	agent   shard.ID
	attempt int
	// sentAttempt is the attempt that this owner sent last; attempt may be higher if agents report other owners' attempts.
	sentAttempt int
	// tries counts the attempts that may have been started.
	tries int
	// refusals counts starts that agents refused, for instance because an urgent task found no free slot.
	refusals      int
	output        []byte
	outputDropped bool
	// imported marks a task that a former owner sent; the start may never have reached the agent.
	imported bool
}

// waiter is an entry that waits for the answer to a job, with the number of its last forward of the job.
type waiter struct {
	entry   shard.ID
	forward uint64
}

// job is the owner's state of a job; content is nil while only agents' or a former owner's records of it are known.
type job struct {
	key       shard.Key
	shard     int
	digest    uint64
	content   *proto.Job
	decision  policy.Decision
	tasks     []task
	remaining int
	starts    int
	waiters   []waiter
	answer    *proto.Answer
	// ranBefore is what is known of the starts that the states of the tasks no longer show; it only ever rises.
	ranBefore proto.Ran
	// ending is set while the failure answer waits for the check that nothing ran.
	ending bool
	// lastAgent is the agent that the most recent task was sent to.
	lastAgent *agentView
	// frozen is set once this entry has given up the shard.
	frozen     bool
	acceptedAt clock.Millis
	deadline   clock.Millis
	touchedAt  clock.Millis
}

func (j *job) live() bool {
	return j.content != nil && j.answer == nil && !j.ending && !j.frozen
}

// task returns the task with an index, or nil; the list grows as needed while the number of tasks is not known.
func (j *job) task(index int) *task {
	if j.content == nil {
		for len(j.tasks) <= index {
			j.tasks = append(j.tasks, task{})
		}
	}
	if index < 0 || index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[index]
}

func (j *job) addWaiter(from shard.ID, forward uint64) {
	for i := range j.waiters {
		if w := &j.waiters[i]; w.entry == from {
			w.forward = max(w.forward, forward)
			return
		}
	}
	j.waiters = append(j.waiters, waiter{entry: from, forward: forward})
}

// ran reports whether any task has been started, as far as the owner knows.
func (j *job) ran() proto.Ran {
	ran := j.earlierStarts()
	if ran == proto.RanYes {
		return ran
	}
	for i := range j.tasks {
		switch j.tasks[i].state {
		case taskDone, taskFailed:
			return proto.RanYes
		case taskSent:
			ran = proto.RanUnknown
		}
	}
	return ran
}

// earlierStarts reports whether any start that the states of the tasks no longer show was carried out.
func (j *job) earlierStarts() proto.Ran {
	if j.ranBefore == "" {
		return proto.RanNo
	}
	return j.ranBefore
}

// noteRan remembers that a task has run, or may have, when its state changes so that it can be started again.
func (j *job) noteRan(ran proto.Ran) {
	if ran == proto.RanYes || (ran == proto.RanUnknown && j.ranBefore != proto.RanYes) {
		j.ranBefore = ran
	}
}

func (j *job) kind() string {
	if j.content == nil {
		return ""
	}
	return j.content.Labels["kind"]
}

func (j *job) id() string {
	if j.content == nil {
		return j.key.String()
	}
	return j.content.ID
}

func (j *job) tenant() string {
	if j.content == nil {
		return ""
	}
	return j.content.Tenant
}

// taskStateOf returns the state of a task for an outcome that an agent recorded.
func taskStateOf(o *proto.Outcome) taskState {
	switch o.State {
	case proto.StateQueued, proto.StateRunning:
		return taskSent
	case proto.StateDone:
		return taskDone
	case proto.StateFailed:
		return taskFailed
	}
	return taskPending
}
