package entry

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
)

// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to retry, in milliseconds.
const (
	minRetryAfter = 100 * clock.Millis(1)
	maxRetryAfter = 10 * clock.Second
	maxBuckets    = 4096
	// finishFactor is the expected time for the last tasks of a job to end, as a multiple of the mean run time.
	finishFactor = 3
	// discoveryTime is the time after its start during which an entry may not know all agents yet, in milliseconds.
	discoveryTime = 5 * clock.Second
)

type bucket struct {
	tokens     float64
	refilledAt clock.Millis
}

// AdmissionController decides immediately whether to admit a job, by policy, quota and expected wait.
type AdmissionController struct {
	*common
	maps      *MapController
	config    *ConfigController
	agents    *AgentController
	dispatch  *DispatchController
	buckets   map[string]*bucket
	startedAt clock.Millis
}

// NewAdmissionController creates a controller with full quotas.
func NewAdmissionController(c *common, maps *MapController, config *ConfigController, agents *AgentController) *AdmissionController {
	return &AdmissionController{common: c, maps: maps, config: config, agents: agents, buckets: map[string]*bucket{}, startedAt: c.now}
}

// Refusal returns why a job is refused and after how many milliseconds to retry, or an empty reason if it is admitted.
func (c *AdmissionController) Refusal(j *proto.Job, d policy.Decision) (proto.Reason, clock.Millis) {
	if d.Denied {
		return proto.ReasonDenied, 0
	}
	if len(c.agents.Eligible(d.Rule, d.Worker).agents) == 0 && c.now-c.startedAt >= discoveryTime {
		return proto.ReasonNoWorker, maxRetryAfter
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

// overload compares the expected wait with the job's remaining time and returns when to retry, in milliseconds, or 0.
func (c *AdmissionController) overload(j *proto.Job, d policy.Decision) clock.Millis {
	waiting := c.dispatch.Len(true)
	if !d.Urgent {
		waiting += c.dispatch.Len(false)
	}
	if waiting+len(j.Tasks) > c.cfg.MaxQueued {
		return maxRetryAfter
	}
	slots := float64(c.agents.Slots()) / float64(max(1, c.owners()))
	if slots == 0 {
		return 0
	}
	mean := c.agents.meanRunTime
	if !d.Urgent {
		mean = c.agents.meanNormalRunTime
		slots *= 1 - c.cfg.UrgentReserve
	}
	wait := float64(waiting+len(j.Tasks)) * mean / slots
	excess := wait + finishFactor*c.agents.RunTime(j.Labels["kind"]) - float64(j.Budget)
	if excess <= 0 || waiting == 0 {
		return 0
	}
	return min(maxRetryAfter, max(minRetryAfter, clock.Millis(excess)))
}

// owners returns the number of entries that share the load.
func (c *AdmissionController) owners() int {
	n := 0
	for _, m := range c.maps.current.Members {
		if !m.Leaving {
			n++
		}
	}
	return n
}

// overQuota charges a job's tasks to this entry's share of the tenant's quota, or returns when to retry, in milliseconds.
func (c *AdmissionController) overQuota(j *proto.Job) clock.Millis {
	t := c.config.policy.Tenant(j.Tenant)
	if t.MaxQueued > 0 && c.dispatch.TenantLen(j.Tenant)+len(j.Tasks) > t.MaxQueued {
		return minRetryAfter
	}
	if t.TasksPerSecond == 0 {
		return 0
	}
	share := 1 / float64(max(1, c.owners()))
	rate := t.TasksPerSecond * share / float64(clock.Second)
	limit := max(t.Burst*share, rate*float64(clock.Second), 1)
	b := c.bucket(j.Tenant, limit)
	b.tokens = min(limit, b.tokens+rate*float64(c.now-b.refilledAt))
	b.refilledAt = c.now
	cost := min(float64(len(j.Tasks)), limit)
	if b.tokens < cost {
		return min(maxRetryAfter, max(minRetryAfter, clock.Millis((cost-b.tokens)/rate)))
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
		b = &bucket{tokens: limit, refilledAt: c.now}
		c.buckets[tenant] = b
	}
	return b
}
