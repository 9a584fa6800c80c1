package entry

import (
	"bytes"
	"slices"

	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

func (c *JobController) addJob(key shard.Key, number int, digest uint64) *job {
	j := &job{key: key, shard: number, digest: digest, touchedAt: c.now}
	c.jobs[key] = j
	c.expiry.Add(key, c.now)
	return j
}

func (c *JobController) touch(j *job) {
	j.touchedAt = c.now
}

func (c *JobController) expire() {
	if c.maps.current == nil {
		return
	}
	retention := c.maps.current.Terms.Retention
	for key, ok := c.expiry.Next(c.now - retention); ok; key, ok = c.expiry.Next(c.now - retention) {
		j := c.jobs[key]
		switch {
		case j == nil:
		case j.live() || c.now-j.touchedAt < retention:
			c.expiry.Add(key, max(j.touchedAt, c.now-retention/2))
		default:
			delete(c.jobs, key)
		}
	}
}

// Freeze stops all work on the jobs of a shard that this entry no longer owns; their state is kept for the new owner.
func (c *JobController) Freeze(number int) {
	for _, j := range c.live {
		if j.shard == number {
			j.frozen = true
			j.waiters = nil
		}
	}
}

// Forget drops the jobs of a shard before it is taken over again.
func (c *JobController) Forget(number int) {
	for key, j := range c.jobs {
		if j.shard == number {
			j.frozen = true
			delete(c.jobs, key)
		}
	}
}

// Export returns the state of a shard's jobs in ascending order of keys.
func (c *JobController) Export(number int) []proto.JobState {
	var list []proto.JobState
	for _, j := range c.jobs {
		if j.shard != number {
			continue
		}
		memory := proto.JobState{Key: j.key, Digest: j.digest, Age: c.now - j.touchedAt, Answer: j.answer, RanBefore: j.earlierStarts()}
		for _, t := range j.tasks {
			memory.Tasks = append(memory.Tasks, t.export())
		}
		list = append(list, memory)
	}
	slices.SortFunc(list, func(a, b proto.JobState) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return list
}

func (t *task) export() proto.TaskState {
	m := proto.TaskState{Agent: t.agent, Attempt: t.attempt, Output: t.output}
	switch t.state {
	case taskSent:
		m.State = proto.StateRunning
	case taskDone:
		m.State = proto.StateDone
	case taskFailed:
		m.State = proto.StateFailed
	}
	return m
}

// Import merges the job state of a former owner.
func (c *JobController) Import(list []proto.JobState) {
	for _, memory := range list {
		j := c.jobs[memory.Key]
		if j == nil {
			j = c.addJob(memory.Key, c.maps.current.ShardOf(memory.Key), memory.Digest)
		}
		j.answer = memory.Answer
		j.noteRan(memory.EarlierStarts())
		for i, m := range memory.Tasks {
			t := j.task(i)
			if t == nil || t.state == taskDone {
				continue
			}
			t.agent = m.Agent
			t.attempt = max(t.attempt, m.Attempt)
			t.tries = max(t.tries, m.Attempt)
			t.output = m.Output
			if m.State != 0 {
				t.state = taskStateOf(&proto.Outcome{State: m.State})
				t.imported = t.state == taskSent
			}
		}
	}
}
