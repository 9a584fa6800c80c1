package entry

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
)

// shortestRetry and longestRetry bound the time after which a refused caller is told to try again, in milliseconds.
const (
	shortestRetry = 100 * clock.Millis(1)
	longestRetry  = 10 * clock.Second
	maxBuckets    = 4096
	// finishShare is the time, as a multiple of the mean run time, in which the last tasks of a job are taken to end.
	finishShare = 3
	// acquaintance is the time after its start in which an entry may not know all agents yet, in milliseconds.
	acquaintance = 5 * clock.Second
)

type bucket struct {
	tokens float64
	filled clock.Millis
}

// AdmissionController decides at once whether a job can be taken: by policy, quota, and the wait to expect.
type AdmissionController struct {
	*common
	maps     *MapController
	config   *ConfigController
	agents   *AgentController
	dispatch *DispatchController
	buckets  map[string]*bucket
	started  clock.Millis
}

// NewAdmissionController creates a controller with full quotas.
func NewAdmissionController(c *common, maps *MapController, config *ConfigController, agents *AgentController) *AdmissionController {
	return &AdmissionController{common: c, maps: maps, config: config, agents: agents, buckets: map[string]*bucket{}, started: c.now}
}

// Refusal returns why a job is not taken and when to try again, or the empty reason.
func (c *AdmissionController) Refusal(j *proto.Job, d policy.Decision) (proto.Reason, clock.Millis) {
	if d.Denied {
		return proto.ReasonDenied, 0
	}
	if len(c.agents.Eligible(d.Rule, d.Worker).agents) == 0 && c.now-c.started >= acquaintance {
		return proto.ReasonNoWorker, longestRetry
	}
	if c.cfg.Baseline {
		return "", 0
	}
	if retry := c.overload(j, d); retry > 0 {
		return proto.ReasonOverload, retry
	}
	if retry := c.overQuota(j); retry > 0 {
		return proto.ReasonQuota, retry
	}
	return "", 0
}

// overload compares the wait to expect with the time that the job has left.
func (c *AdmissionController) overload(j *proto.Job, d policy.Decision) clock.Millis {
	waiting := c.dispatch.Len(true)
	if !d.Urgent {
		waiting += c.dispatch.Len(false)
	}
	if waiting+len(j.Tasks) > c.cfg.MaxQueued {
		return longestRetry
	}
	slots := float64(c.agents.Slots()) / float64(max(1, c.owners()))
	if slots == 0 {
		return 0
	}
	mean := c.agents.meanRun
	if !d.Urgent {
		mean = c.agents.meanNormal
		slots *= 1 - c.cfg.UrgentReserve
	}
	wait := float64(waiting+len(j.Tasks)) * mean / slots
	excess := wait + finishShare*c.agents.RunTime(j.Labels["kind"]) - float64(j.Budget)
	if excess <= 0 || waiting == 0 {
		return 0
	}
	return min(longestRetry, max(shortestRetry, clock.Millis(excess)))
}

// owners returns the number of entries among which the load is divided.
func (c *AdmissionController) owners() int {
	n := 0
	for _, m := range c.maps.m.Members {
		if !m.Leaving {
			n++
		}
	}
	return n
}

// overQuota takes a job's tasks from this entry's share of the tenant's quota, or returns when to try again.
func (c *AdmissionController) overQuota(j *proto.Job) clock.Millis {
	t := c.config.policy.Tenant(j.Tenant)
	if t.MaxQueued > 0 && c.dispatch.TenantLen(j.Tenant)+len(j.Tasks) > t.MaxQueued {
		return shortestRetry
	}
	if t.TasksPerSecond == 0 {
		return 0
	}
	share := 1 / float64(max(1, c.owners()))
	rate := t.TasksPerSecond * share / float64(clock.Second)
	limit := max(t.Burst*share, rate*float64(clock.Second), 1)
	b := c.bucket(j.Tenant, limit)
	b.tokens = min(limit, b.tokens+rate*float64(c.now-b.filled))
	b.filled = c.now
	cost := min(float64(len(j.Tasks)), limit)
	if b.tokens < cost {
		return min(longestRetry, max(shortestRetry, clock.Millis((cost-b.tokens)/rate)))
	}
	b.tokens -= float64(len(j.Tasks))
	return 0
}

func (c *AdmissionController) bucket(tenant string, limit float64) *bucket {
	b := c.buckets[tenant]
	if b == nil {
		if len(c.buckets) >= maxBuckets {
			clear(c.buckets)
		}
		b = &bucket{tokens: limit, filled: c.now}
		c.buckets[tenant] = b
	}
	return b
}
