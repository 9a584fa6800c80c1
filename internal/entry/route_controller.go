package entry

import (
	"bytes"
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// answerGrace is the time after a job's deadline during which the owner's answer is still accepted, in milliseconds.
const answerGrace = 500 * clock.Millis(1)

type caller struct {
	ref      uint64
	digest   uint64
	deadline clock.Millis
	since    clock.Millis
}

type route struct {
	key     shard.Key
	forward proto.Forward
	// sentTo is the owner to which the job was forwarded last.
	sentTo shard.Owner
	// repeated is whether the job was forwarded more than once.
	repeated bool
	callers  []caller
}

// RouteController forwards the jobs of this entry's callers to their owners and returns the answers.
type RouteController struct {
	*common
	maps   *MapController
	jobs   *JobController
	routes map[shard.Key][]*route
	refs   map[uint64]shard.Key
	// forwards counts the forwards sent.
	forwards uint64
}

// NewRouteController creates a controller without callers.
func NewRouteController(c *common, maps *MapController, jobs *JobController) *RouteController {
	return &RouteController{common: c, maps: maps, jobs: jobs, routes: map[shard.Key][]*route{}, refs: map[uint64]shard.Key{}}
}

// Callers returns the number of callers waiting for an answer.
func (c *RouteController) Callers() int {
	return len(c.refs)
}

// Submit forwards a caller's job to its owner.
func (c *RouteController) Submit(s Submit) {
	r := c.findOrAdd(s)
	r.callers = append(r.callers, caller{
		ref: s.Ref, digest: s.Job.Digest, deadline: c.now + s.Job.Budget, since: c.now,
	})
	c.refs[s.Ref] = s.Job.Key
	c.forward(r)
}

// findOrAdd returns the route of a job, which is shared by all submissions of the same content.
func (c *RouteController) findOrAdd(s Submit) *route {
	for _, r := range c.routes[s.Job.Key] {
		if r.forward.Job.Digest == s.Job.Digest {
			return r
		}
	}
	r := &route{key: s.Job.Key, forward: proto.Forward{Job: s.Job, Wait: !s.Lookup}}
	c.routes[r.key] = append(c.routes[r.key], r)
	return r
}

// forward sends a job to its owner; without a map it does nothing.
func (c *RouteController) forward(r *route) {
	if c.maps.current == nil {
		return
	}
	r.sentTo = c.maps.current.Shards[c.maps.current.ShardOf(r.key)]
	owner := r.sentTo.ID
	r.repeated = r.forward.Number != 0
	c.forwards++
	r.forward.Number = c.forwards
	r.forward.Epoch = r.sentTo.Epoch
	f := r.forward
	f.Job.Budget = c.budget(r)
	if owner == c.cfg.ID {
		c.jobs.Submit(c.cfg.ID, &f)
		return
	}
	c.send(owner, proto.Message{Forward: &f})
}

func (c *RouteController) budget(r *route) clock.Millis {
	latest := c.now + 1
	for _, x := range r.callers {
		latest = max(latest, x.deadline)
	}
	return latest - c.now
}

// Reforward forwards again the jobs whose owner has changed or whose owner has reconnected.
func (c *RouteController) Reforward(reconnected shard.ID) {
	for _, r := range c.sortedRoutes() {
		owner := c.maps.current.Shards[c.maps.current.ShardOf(r.key)]
		if owner.ID != r.sentTo.ID || owner.Epoch != r.sentTo.Epoch || owner.ID == reconnected {
			c.emit(event.Note{Name: "job_passed_again", Job: r.forward.Job.ID, Peer: owner.ID})
			c.forward(r)
		}
	}
}

func (c *RouteController) sortedRoutes() []*route {
	var list []*route
	for _, routes := range c.routes {
		list = append(list, routes...)
	}
	slices.SortFunc(list, func(a, b *route) int {
		if n := bytes.Compare(a.key[:], b.key[:]); n != 0 {
			return n
		}
		return int(int64(a.forward.Job.Digest>>1) - int64(b.forward.Job.Digest>>1))
	})
	return list
}

// Answer delivers an owner's answer to every caller that submitted the same content. One that says that nothing ran
// speaks of the forwards before it was made only: a later one may have the job started.
func (c *RouteController) Answer(a *proto.Answer) {
	matched := false
	for _, r := range slices.Clone(c.routes[a.Key]) {
		if a.Digest == r.forward.Job.Digest || r.forward.Job.Digest == 0 {
			matched = true
			c.answerNewest(r, a)
		}
	}
	if !matched {
		c.emit(event.Note{Name: "message_wasted", Reason: "late_answer", Quiet: true})
	}
}

// answerNewest delivers an answer that covers the newest forward of a job; otherwise the callers wait for the answer to that
// one, or are told that it is unknown whether anything ran if the owner doesn't number its answers.
func (c *RouteController) answerNewest(r *route, a *proto.Answer) {
	switch {
	case a.Run != proto.RanNo || a.Forward >= r.forward.Number || (a.Forward == 0 && !r.repeated):
		c.answerRoute(r, a)
	case a.Forward == 0:
		unknown := *a
		unknown.Run = proto.RanUnknown
		c.answerRoute(r, &unknown)
	default:
		c.emit(event.Note{Name: "message_wasted", Reason: "superseded_answer", Quiet: true})
	}
}

func (c *RouteController) answerRoute(r *route, a *proto.Answer) {
	for _, x := range r.callers {
		c.respond(x, a)
	}
	c.remove(r)
}

func (c *RouteController) respond(x caller, a *proto.Answer) {
	delete(c.refs, x.ref)
	c.emit(Respond{Ref: x.ref, Answer: a})
}

func (c *RouteController) remove(r *route) {
	rest := slices.DeleteFunc(c.routes[r.key], func(x *route) bool { return x == r })
	if len(rest) == 0 {
		delete(c.routes, r.key)
		return
	}
	c.routes[r.key] = rest
}

// Abandon removes a caller that no longer waits; its job continues.
func (c *RouteController) Abandon(ref uint64) {
	key, ok := c.refs[ref]
	if !ok {
		return
	}
	delete(c.refs, ref)
	for _, r := range slices.Clone(c.routes[key]) {
		r.callers = slices.DeleteFunc(r.callers, func(x caller) bool { return x.ref == ref })
		if len(r.callers) == 0 {
			c.remove(r)
		}
	}
}

// Cancel forwards a caller's request to cancel a job to the owner.
func (c *RouteController) Cancel(key shard.Key) {
	if c.maps.current == nil {
		return
	}
	owner := c.maps.current.Shards[c.maps.current.ShardOf(key)].ID
	if owner == c.cfg.ID {
		c.jobs.Cancel(key)
		return
	}
	c.send(owner, proto.Message{Cancel: &proto.Cancel{Key: key}})
}

// Tick fails the requests whose deadline has passed without an answer from the owner.
func (c *RouteController) Tick() {
	for _, r := range c.sortedRoutes() {
		expired := r.callers[:0:0]
		r.callers = slices.DeleteFunc(r.callers, func(x caller) bool {
			if c.now < x.deadline+answerGrace {
				return false
			}
			expired = append(expired, x)
			return true
		})
		for _, x := range expired {
			c.respond(x, &proto.Answer{
				Key: r.key, Digest: x.digest, Status: proto.StatusFailed, Run: proto.RanUnknown, Reason: proto.ReasonOwner,
			})
		}
		if len(r.callers) == 0 {
			c.remove(r)
		}
	}
}
