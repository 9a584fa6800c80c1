package trial

import (
	"context"
	"encoding/json"
	"fmt"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/node"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/stand"
	"corianderspur.example/corianderspur/internal/table"
)

// link is one session; each end sees it begin and end by itself.
type link struct {
	ends [2]*proc
	last [2]clock.Millis
	dead bool
}

type proc struct {
	w       *world
	name    string
	id      shard.ID
	role    proto.Role
	machine node.Machine
	alive   bool
	frozen  clock.Millis
	since   clock.Millis
	held    []event.Event
	links   map[shard.ID]*link
	wanted  []shard.Member
	exited  bool
}

func (p *proc) scheduleTick() {
	p.w.after(tick, func() {
		if !p.alive {
			return
		}
		if p.frozen <= p.w.now {
			p.dial()
			p.handle(event.Tick{})
		}
		p.scheduleTick()
	})
}

// handle gives an event to a process, or holds it while the process is frozen.
func (p *proc) handle(ev event.Event) {
	if !p.alive {
		return
	}
	if p.frozen > p.w.now {
		p.held = append(p.held, ev)
		return
	}
	for _, a := range p.machine.Handle(p.w.now, ev) {
		p.perform(a)
	}
}

// freeze stops a process for a while; what arrived meanwhile is treated as by the control loop of a real one.
func (p *proc) freeze(d clock.Millis) {
	if !p.alive || p.frozen > p.w.now {
		return
	}
	p.since = p.w.now
	p.frozen = p.w.now + d
	p.w.after(d, p.thaw)
}

func (p *proc) thaw() {
	held := p.held
	p.held = nil
	stale := p.w.now-p.since > node.StaleGap
	if stale {
		p.reset(p.id)
	}
	for _, ev := range held {
		switch e := ev.(type) {
		case event.Received:
			if stale {
				continue
			}
		case entry.Submit:
			if stale {
				p.w.respond(p, e.Ref, &proto.Answer{Key: e.Job.Key, Status: proto.StatusFailed, Run: proto.RanUnknown})
				continue
			}
		}
		p.handle(ev)
	}
}

// dial opens the sessions that a process wants and does not have.
func (p *proc) dial() {
	for _, m := range p.wanted {
		if m.ID == p.id || p.links[m.ID] != nil || (p.named() && p.id < m.ID) {
			continue
		}
		q := p.w.byID(m.ID)
		if q == nil || q.frozen > p.w.now {
			continue
		}
		_, there := p.w.isCut(p.name, q.name)
		_, back := p.w.isCut(q.name, p.name)
		if !there && !back {
			p.open(q)
		}
	}
}

func (p *proc) named() bool {
	for _, m := range p.wanted {
		if m.ID == p.id {
			return true
		}
	}
	return false
}

func (p *proc) open(q *proc) {
	l := &link{ends: [2]*proc{p, q}}
	for i, x := range l.ends {
		other := l.ends[1-i]
		if old := x.links[other.id]; old != nil {
			x.drop(old, other.id)
		}
		x.links[other.id] = l
		x.handle(event.SessionUp{Peer: other.id, Role: other.role})
	}
}

func (p *proc) drop(l *link, peer shard.ID) {
	if p.links[peer] == l {
		delete(p.links, peer)
		p.handle(event.SessionDown{Peer: peer})
	}
}

func (p *proc) reset(id shard.ID) {
	for _, peer := range p.peers() {
		l := p.links[peer]
		p.w.breakLink(l, [2]shard.ID{l.ends[0].id, l.ends[1].id})
		delete(p.links, peer)
		p.handle(event.SessionDown{Peer: peer})
	}
	p.id = id
}

func (p *proc) peers() []shard.ID {
	var ids []shard.ID
	for _, q := range p.w.procs {
		if p.links[q.id] != nil {
			ids = append(ids, q.id)
		}
	}
	return ids
}

func (p *proc) kill() {
	for _, peer := range p.peers() {
		l := p.links[peer]
		p.w.breakLink(l, [2]shard.ID{l.ends[0].id, l.ends[1].id})
	}
	p.alive = false
}

func (p *proc) perform(a event.Action) {
	switch a := a.(type) {
	case event.Send:
		p.send(a)
	case event.Connect:
		p.wanted = a.Members
	case event.TableCall:
		p.callTable(a)
	case event.Reset:
		p.reset(a.ID)
	case event.Exit:
		p.exited = true
		p.w.after(5, p.kill)
	case event.Note:
		if a.Name == "start_refused" {
			p.w.refused++
		}
		p.w.write("%s notes %s %s%s\n", p.name, a.Name, a.Job, a.Reason)
	case agent.Run:
		p.runTask(a)
	case entry.Respond:
		p.w.checkNotRun(a.Answer)
		p.w.respond(p, a.Ref, a.Answer)
	case entry.Applied:
		p.w.applied = append(p.w.applied, a)
		p.w.write("%s applies %d %v\n", p.name, a.Version, a.Err)
	}
}

func (p *proc) send(a event.Send) {
	l := p.links[a.To]
	if a.Message.Answer != nil {
		p.w.checkNotRun(a.Message.Answer)
	}
	if l == nil {
		return
	}
	i := 0
	if l.ends[1] == p {
		i = 1
	}
	from, to := p.id, l.ends[1-i]
	l.last[i] = max(l.last[i], p.w.now+p.w.delay())
	p.w.after(l.last[i]-p.w.now, func() { p.w.deliver(l, i, from, to, a.Message) })
}

func (p *proc) callTable(a event.TableCall) {
	w := p.w
	done := false
	finish := func(r table.Reply, err error) {
		if !done {
			done = true
			p.handle(event.TableDone{Call: a.Call, Reply: r, Err: err})
		}
	}
	w.after(tableTimeout, func() { finish(table.Reply{}, stand.ErrDown) })
	if w.loseMapWrite > 0 && len(a.Txn.Writes) > 0 && a.Txn.Writes[0].Key == agent.MapKey {
		w.lossy = w.now + w.loseMapWrite
		w.loseMapWrite = 0
	}
	arrive := w.delay()
	if until, ok := w.isCut(p.name, tableName); ok {
		arrive += until - w.now
	}
	w.after(arrive, func() {
		if w.down > w.now {
			return
		}
		reply, err := w.table.Transact(context.Background(), a.Txn)
		if _, back := w.isCut(tableName, p.name); back || w.lossy > w.now {
			return
		}
		w.after(w.delay(), func() { finish(reply, err) })
	})
}

func (p *proc) runTask(a agent.Run) {
	w := p.w
	task := fmt.Sprintf("%s/%d", a.Job, a.Index)
	w.starts[task]++
	w.started[a.Key]++
	if w.notRun[a.Key] {
		w.fault("%s starts, but its callers were told that nothing ran", task)
	}
	w.lastRun[p.name] = w.now
	w.write("%s runs %s attempt %d\n", p.name, task, a.Attempt)
	var work stand.Work
	if err := json.Unmarshal(a.Payload, &work); err != nil {
		panic(err)
	}
	verdict := agent.VerdictDone
	if v, ok := w.behave[p.name]; ok {
		verdict = v
	}
	if work.Fail {
		verdict = agent.VerdictTaskFailed
	}
	w.after(clock.Millis(work.MS), func() {
		p.handle(agent.RunDone{Key: a.Key, Index: a.Index, Attempt: a.Attempt, Verdict: verdict, Output: []byte(task)})
	})
}
