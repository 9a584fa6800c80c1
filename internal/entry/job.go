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
	// tries counts the attempts that may have started.
	tries int
	// passed counts agents that had no free slot for an urgent task.
	passed  int
	output  []byte
	dropped bool
	// imported tasks were sent by a former owner, and may never have arrived.
	imported bool
}

// job is what an owner knows of a job; content is nil while only agents' records of it are known.
type job struct {
	key      shard.Key
	shard    int
	digest   uint64
	content  *proto.Job
	decision policy.Decision
	tasks    []task
	left     int
	starts   int
	waiters  []shard.ID
	answer   *proto.Answer
	ending   bool
	// last is the agent to which a task was sent last.
	last     *agentView
	frozen   bool
	accepted clock.Millis
	deadline clock.Millis
	touched  clock.Millis
}

func (j *job) live() bool {
	return j.content != nil && j.answer == nil && !j.ending && !j.frozen
}

// task returns a task, growing the list while the number of tasks is not known.
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

func (j *job) wait(from shard.ID) {
	for _, w := range j.waiters {
		if w == from {
			return
		}
	}
	j.waiters = append(j.waiters, from)
}

// ran says whether any task has been started, as far as the owner can tell.
func (j *job) ran() proto.Ran {
	verdict := proto.RanNo
	for i := range j.tasks {
		switch j.tasks[i].state {
		case taskDone, taskFailed:
			return proto.RanYes
		case taskSent:
			verdict = proto.RanUnknown
		}
	}
	return verdict
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

// remember returns the state in which a record of an agent leaves a task.
func remember(o *proto.Outcome) taskState {
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
