package entry

import (
	"bytes"
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// answerGrace is the time past a job's deadline for which the owner's answer is still awaited, in milliseconds.
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
	sentTo  shard.ID
	callers []caller
}

// RouteController passes the jobs of this entry's callers to their owners and the answers back.
type RouteController struct {
	*common
	maps   *MapController
	jobs   *JobController
	routes map[shard.Key][]*route
	refs   map[uint64]shard.Key
}

// NewRouteController creates a controller without callers.
func NewRouteController(c *common, maps *MapController, jobs *JobController) *RouteController {
	return &RouteController{common: c, maps: maps, jobs: jobs, routes: map[shard.Key][]*route{}, refs: map[uint64]shard.Key{}}
}

// Callers returns the number of callers that wait for an answer.
func (c *RouteController) Callers() int {
	return len(c.refs)
}

// Submit takes a job from a caller.
func (c *RouteController) Submit(s Submit) {
	r := c.open(s)
	r.callers = append(r.callers, caller{
		ref: s.Ref, digest: s.Job.Digest, deadline: c.now + s.Job.Budget, since: c.now,
	})
	c.refs[s.Ref] = s.Job.Key
	c.pass(r)
}

// open returns the route that a job shares with earlier copies of the same content.
func (c *RouteController) open(s Submit) *route {
	for _, r := range c.routes[s.Job.Key] {
		if r.forward.Job.Digest == s.Job.Digest {
			return r
		}
	}
	r := &route{key: s.Job.Key, forward: proto.Forward{Job: s.Job, Wait: !s.Lookup}}
	c.routes[r.key] = append(c.routes[r.key], r)
	return r
}

// pass sends a job to its owner, if there is a map.
func (c *RouteController) pass(r *route) {
	if c.maps.m == nil {
		return
	}
	owner := c.maps.m.Shards[c.maps.m.Of(r.key)].ID
	r.sentTo = owner
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

// Repass sends jobs again whose owner changed or whose owner's session was opened anew.
func (c *RouteController) Repass(reconnected shard.ID) {
	for _, r := range c.sorted() {
		owner := c.maps.m.Shards[c.maps.m.Of(r.key)].ID
		if owner != r.sentTo || owner == reconnected {
			c.emit(event.Note{Name: "job_passed_again", Job: r.forward.Job.ID, Peer: owner})
			c.pass(r)
		}
	}
}

func (c *RouteController) sorted() []*route {
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

// Answer gives an owner's answer to every caller of the same content.
func (c *RouteController) Answer(a *proto.Answer) {
	matched := false
	for _, r := range slices.Clone(c.routes[a.Key]) {
		if a.Digest == r.forward.Job.Digest || r.forward.Job.Digest == 0 {
			matched = true
			c.close(r, a)
		}
	}
	if !matched {
		c.emit(event.Note{Name: "message_wasted", Reason: "late_answer", Quiet: true})
	}
}

func (c *RouteController) close(r *route, a *proto.Answer) {
	for _, x := range r.callers {
		c.respond(x, a)
	}
	c.drop(r)
}

func (c *RouteController) respond(x caller, a *proto.Answer) {
	delete(c.refs, x.ref)
	c.emit(Respond{Ref: x.ref, Answer: a})
}

func (c *RouteController) drop(r *route) {
	rest := slices.DeleteFunc(c.routes[r.key], func(x *route) bool { return x == r })
	if len(rest) == 0 {
		delete(c.routes, r.key)
		return
	}
	c.routes[r.key] = rest
}

// Abandon forgets a caller that no longer waits; its job goes on.
func (c *RouteController) Abandon(ref uint64) {
	key, ok := c.refs[ref]
	if !ok {
		return
	}
	delete(c.refs, ref)
	for _, r := range slices.Clone(c.routes[key]) {
		r.callers = slices.DeleteFunc(r.callers, func(x caller) bool { return x.ref == ref })
		if len(r.callers) == 0 {
			c.drop(r)
		}
	}
}

// Cancel passes a caller's wish to end a job to the owner.
func (c *RouteController) Cancel(key shard.Key) {
	if c.maps.m == nil {
		return
	}
	owner := c.maps.m.Shards[c.maps.m.Of(key)].ID
	if owner == c.cfg.ID {
		c.jobs.Cancel(key)
		return
	}
	c.send(owner, proto.Message{Cancel: &proto.Cancel{Key: key}})
}

// Tick answers callers whose deadline has passed without a word from the owner.
func (c *RouteController) Tick() {
	for _, r := range c.sorted() {
		late := r.callers[:0:0]
		r.callers = slices.DeleteFunc(r.callers, func(x caller) bool {
			if c.now < x.deadline+answerGrace {
				return false
			}
			late = append(late, x)
			return true
		})
		for _, x := range late {
			c.respond(x, &proto.Answer{
				Key: r.key, Digest: x.digest, Status: proto.StatusFailed, Run: proto.RanUnknown, Reason: proto.ReasonOwner,
			})
		}
		if len(r.callers) == 0 {
			c.drop(r)
		}
	}
}
