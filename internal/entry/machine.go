package entry

import (
	"math/rand/v2"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Machine is the state machine of an entry; it does no I/O and is not safe for concurrent use.
type Machine struct {
	*common
	maps        *MapController
	config      *ConfigController
	agents      *AgentController
	shards      *ShardController
	jobs        *JobController
	admission   *AdmissionController
	dispatch    *DispatchController
	checks      *CheckController
	routes      *RouteController
	roles       map[shard.ID]proto.Role
	stopStarted clock.Millis
	stopping    bool
	exited      bool
}

// New creates the state machine of an entry that starts at the given time in milliseconds.
func New(cfg Config, now clock.Millis) *Machine {
	c := &common{cfg: cfg, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	m := &Machine{common: c, roles: map[shard.ID]proto.Role{}}
	m.maps = NewMapController(c)
	m.config = NewConfigController(c)
	m.agents = NewAgentController(c, m.maps, m.config)
	m.shards = NewShardController(c, m.maps, m.agents)
	m.dispatch = NewDispatchController(c, m.agents, m.shards)
	m.admission = NewAdmissionController(c, m.maps, m.config, m.agents)
	m.checks = NewCheckController(c, m.maps, m.agents, m.shards)
	m.jobs = NewJobController(c)
	m.routes = NewRouteController(c, m.maps, m.jobs)
	m.wire()
	return m
}

// wire connects controllers that depend on each other and cannot all be passed to constructors.
func (m *Machine) wire() {
	m.admission.dispatch = m.dispatch
	m.shards.jobs = m.jobs
	m.jobs.maps = m.maps
	m.jobs.config = m.config
	m.jobs.shards = m.shards
	m.jobs.agents = m.agents
	m.jobs.admission = m.admission
	m.jobs.dispatch = m.dispatch
	m.jobs.checks = m.checks
	m.jobs.deliver = m.deliver
	m.maps.completeBeat = m.config.Complete
	m.maps.onConfig = m.config.Row
	m.maps.onMap = m.mapAdopted
	m.maps.settledShards = m.shards.SettledShards
	m.config.onPolicy = m.policyAdopted
	m.agents.onLost = m.jobs.AgentLost
	m.agents.onRenamed = m.jobs.AgentRenamed
	m.shards.onChange = m.jobs.Unpark
	m.checks.onChecked = m.jobs.Checked
}

func (m *Machine) deliver(to shard.ID, a *proto.Answer) {
	if to == m.cfg.ID {
		m.routes.Answer(a)
		return
	}
	m.send(to, proto.Message{Answer: a})
}

func (m *Machine) mapAdopted(before *shard.Map) {
	m.shards.MapChanged(before)
	m.shards.DropLostAgents()
	m.agents.Prune()
	m.routes.Reforward("")
}

func (m *Machine) policyAdopted() {
	m.agents.Invalidate()
	m.maps.BeatAll()
}

// Handle processes one event at the given time in milliseconds and returns the resulting actions.
func (m *Machine) Handle(now clock.Millis, ev event.Event) []event.Action {
	m.now = now
	m.actions = nil
	switch e := ev.(type) {
	case event.Tick:
		m.tick()
	case event.Received:
		m.receive(e.From, &e.Message)
	case event.SessionUp:
		m.sessionUp(e)
	case event.SessionDown:
		m.sessionDown(e.Peer)
	case event.TableDone:
		m.tableDone(e)
	case event.Stop:
		m.stop()
	case Submit:
		m.routes.Submit(e)
	case Abandon:
		m.routes.Abandon(e.Ref)
	case CancelJob:
		m.routes.Cancel(e.Key)
	case Apply:
		m.config.Apply(e)
	case Strike:
		m.maps.Strike(e.Agent)
	}
	m.dispatch.Pump()
	m.checks.Pump()
	return m.actions
}

func (m *Machine) tick() {
	m.maps.Tick()
	m.shards.Tick()
	m.agents.Tick()
	m.jobs.Tick()
	m.checks.Tick()
	m.routes.Tick()
	m.finishStop()
}

func (m *Machine) tableDone(e event.TableDone) {
	if m.config.TableDone(e) || m.shards.TableDone(e) {
		return
	}
	m.maps.TableDone(e)
}

func (m *Machine) sessionUp(e event.SessionUp) {
	m.roles[e.Peer] = e.Role
	if e.Role == proto.RoleAgent {
		m.agents.SessionUp(e.Peer)
		m.jobs.Resend(e.Peer)
		m.shards.AgentUp()
		return
	}
	m.maps.SessionUp(e.Peer)
	if m.maps.current != nil {
		m.routes.Reforward(e.Peer)
	}
}

func (m *Machine) sessionDown(peer shard.ID) {
	if m.roles[peer] == proto.RoleAgent {
		m.agents.SessionDown(peer)
	} else {
		m.maps.SessionDown(peer)
	}
	delete(m.roles, peer)
}

func (m *Machine) receive(from shard.ID, msg *proto.Message) {
	switch {
	case msg.Ping != nil:
		m.agents.Ping(from, msg.Ping)
		m.maps.Pong(from, msg.Ping, m.config.Version())
	case msg.Result != nil:
		m.jobs.Result(from, msg.Result)
	case msg.Forward != nil:
		m.jobs.Submit(from, msg.Forward)
	case msg.Answer != nil:
		m.routes.Answer(msg.Answer)
	case msg.Cancel != nil:
		m.jobs.Cancel(msg.Cancel.Key)
	case msg.Beat != nil:
		m.config.Adopt(msg.Beat.Config)
		m.maps.Beat(from, msg.Beat)
	case msg.RecordTransfer != nil:
		m.agents.Custody(msg.RecordTransfer)
	case msg.RecordTransferAck != nil:
		m.agents.Taken(msg.RecordTransferAck)
	case msg.Checked != nil:
		m.checks.Checked(from, msg.Checked)
	case msg.Fenced != nil:
		m.shards.Fenced(from, msg.Fenced)
	case msg.Handover != nil:
		m.shards.Handover(from, msg.Handover)
	case msg.Handovers != nil:
		m.shards.HandoversWanted(from, msg.Handovers)
	case msg.Join != nil:
		m.maps.Join(msg.Join)
	}
}

func (m *Machine) stop() {
	if m.stopping {
		return
	}
	m.stopping = true
	m.stopStarted = m.now
	m.maps.Stop()
	m.emit(event.Note{Name: "planned_stop_begun", Count: m.routes.Callers()})
}

// finishStop ends the process once its shards are handed over, its callers are answered and it is out of the map, or
// when DrainLimit is exceeded.
func (m *Machine) finishStop() {
	if !m.stopping || m.exited {
		return
	}
	timedOut := m.now-m.stopStarted > m.cfg.DrainLimit
	onlyMember := m.maps.current == nil || len(m.maps.current.Members) <= 1
	holdsShards := m.shards.Count(shardOwned)+m.shards.Count(shardTaking) > 0 && !onlyMember
	if !timedOut && (holdsShards || m.routes.Callers() > 0) {
		return
	}
	if !timedOut && !onlyMember && m.maps.IsMember() {
		m.maps.Drained()
		return
	}
	m.exited = true
	m.emit(event.Note{Name: "planned_stop_done", Took: m.now - m.stopStarted, Count: m.routes.Callers()})
	m.emit(event.Exit{})
}
