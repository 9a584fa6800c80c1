package entry

import (
	"slices"
	"strings"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
	"corianderspur.example/corianderspur/pkg/label"
)

const (
	// refusalBackoff is how long no tasks are sent to an agent after it refused a start, in milliseconds.
	refusalBackoff = 20 * clock.Millis(1)
	// sampleWeight is the weight of the newest sample in moving averages.
	sampleWeight = 0.1
	// initialRunTime is the run time assumed before any task has ended, in milliseconds.
	initialRunTime = 300.0
	// maxSlowness bounds the ratio of one task's run time to the mean of its kind in an agent's slowness.
	maxSlowness = 20.0
	// reportLag is the age from which a start is assumed to be included in an agent's report, in milliseconds.
	reportLag = 5 * clock.Millis(1)
	// preferredShare is the share of agents to which urgent tasks are sent first and other tasks last.
	preferredShare = 0.15
)

type agentView struct {
	id         shard.ID
	worker     string
	zone       string
	labels     label.Set
	ownLabels  label.Set
	load       proto.Load
	described  bool
	connected  bool
	heardAt    clock.Millis
	reportedAt clock.Millis
	// recentStarts holds the times of starts that the last report may not include.
	recentStarts []clock.Millis
	inFlight     int
	avoidUntil   clock.Millis
	slowness     float64
	lost         bool
}

// AgentController tracks the agents that this entry knows and chooses an agent for each task.
type AgentController struct {
	*common
	maps          *MapController
	config        *ConfigController
	views         []*agentView
	byID          map[shard.ID]*agentView
	byWorker      map[string]*agentView
	pools         map[string]*pool
	runTimeByKind map[string]float64
	meanRunTime   float64
	// meanNormalRunTime is the mean run time of normal tasks, in milliseconds.
	meanNormalRunTime float64
	// meanOtherUse is the mean share of an agent's slots that other entries use.
	meanOtherUse float64
	// onLost is called when the tasks at an agent must be given up.
	onLost func(id shard.ID)
	// onRenamed is called when an agent continues under a new identity.
	onRenamed func(from, to shard.ID)
}

// NewAgentController creates a controller that knows no agents.
func NewAgentController(c *common, maps *MapController, config *ConfigController) *AgentController {
	return &AgentController{
		common: c, maps: maps, config: config, byID: map[shard.ID]*agentView{},
		byWorker: map[string]*agentView{}, pools: map[string]*pool{}, runTimeByKind: map[string]float64{},
		meanRunTime: initialRunTime, meanNormalRunTime: initialRunTime,
	}
}

// Invalidate recomputes the labels of all agents and drops the cached pools.
func (c *AgentController) Invalidate() {
	for _, v := range c.views {
		v.labels = c.config.policy.WorkerLabels(v.worker, v.ownLabels)
	}
	clear(c.pools)
}

// SessionUp marks an agent as connected.
func (c *AgentController) SessionUp(id shard.ID) {
	v := c.byID[id]
	if v == nil {
		v = &agentView{id: id, slowness: 1}
		c.byID[id] = v
		at, _ := slices.BinarySearchFunc(c.views, id, func(x *agentView, id shard.ID) int {
			return strings.Compare(string(x.id), string(id))
		})
		c.views = slices.Insert(c.views, at, v)
	}
	v.connected = true
	v.lost = false
	v.heardAt = c.now
	clear(c.pools)
}

// SessionDown marks an agent as disconnected.
func (c *AgentController) SessionDown(id shard.ID) {
	if v := c.byID[id]; v != nil {
		v.connected = false
	}
}

// Ping handles an agent's heartbeat.
func (c *AgentController) Ping(from shard.ID, p *proto.Ping) {
	v := c.byID[from]
	if v == nil {
		return
	}
	if p.Worker != "" {
		c.recordIdentity(v, p)
	}
	c.Report(v, p.Load)
	if p.Gone {
		v.connected = false
		c.markLost(v)
		c.removeGone(from, p.Handed)
	}
}

// removeGone removes a stopped agent from the directory if another agent keeps its records; otherwise the agent is marked
// as lost in the map.
func (c *AgentController) removeGone(id shard.ID, handedOver bool) {
	if !handedOver {
		c.strike(id)
		return
	}
	c.remove(c.byID[id])
	c.emit(event.TableCall{Call: c.nextCall(), Txn: table.Txn{
		Writes: []table.Write{{Key: agent.DirPrefix + string(id), Any: true}},
	}})
}

// Custody forwards the records of a stopping agent to another agent, which keeps them.
func (c *AgentController) Custody(msg *proto.RecordTransfer) {
	for _, v := range c.views {
		if v.id != msg.Of && v.usable() {
			c.send(v.id, proto.Message{RecordTransfer: msg})
			return
		}
	}
}

// Taken forwards the confirmation to the stopping agent.
func (c *AgentController) Taken(msg *proto.RecordTransferAck) {
	c.send(msg.Of, proto.Message{RecordTransferAck: msg})
}

func (c *AgentController) recordIdentity(v *agentView, p *proto.Ping) {
	v.worker = p.Worker
	v.zone = p.Zone
	v.described = true
	v.ownLabels = p.Labels.Merge(label.Set{"worker": p.Worker, "availability_zone": p.Zone})
	v.labels = c.config.policy.WorkerLabels(v.worker, v.ownLabels)
	clear(c.pools)
	other := c.byWorker[v.worker]
	c.byWorker[v.worker] = v
	if other != nil && other != v {
		c.replace(other, v)
	}
}

// replace marks the previous agent of a worker as lost; if the agent only renewed its identity, its tasks are
// assigned to the new one first.
func (c *AgentController) replace(old, v *agentView) {
	if baseID(old.id) == baseID(v.id) {
		v.inFlight = old.inFlight
		c.onRenamed(old.id, v.id)
	}
	c.markLost(old)
}

// baseID returns an agent's identity without the number of its renewal.
func baseID(id shard.ID) string {
	name, _, _ := strings.Cut(string(id), ".")
	return name
}

// Report records the load that an agent sent with a message.
func (c *AgentController) Report(v *agentView, load proto.Load) {
	v.heardAt = c.now
	v.reportedAt = c.now
	if load.Slots != v.load.Slots {
		clear(c.pools)
	}
	v.load = load
	v.recentStarts = slices.DeleteFunc(v.recentStarts, func(at clock.Millis) bool { return c.now-at > reportLag })
	if load.Slots > 0 {
		others := max(0, float64(load.Running+load.Queued+load.Held+len(v.recentStarts)-v.inFlight)) / float64(load.Slots)
		c.meanOtherUse += sampleWeight * (others - c.meanOtherUse)
	}
}

// Sent counts a start that was sent to an agent.
func (c *AgentController) Sent(v *agentView) {
	v.recentStarts = append(v.recentStarts, c.now)
	v.inFlight++
}

// Ended records the end of a task at an agent and updates the run time averages.
func (c *AgentController) Ended(id shard.ID, kind string, urgent bool, o *proto.Outcome) {
	v := c.byID[id]
	if v == nil {
		return
	}
	v.inFlight = max(0, v.inFlight-1)
	switch o.State {
	case proto.StateRefused:
		v.recentStarts = v.recentStarts[:max(0, len(v.recentStarts)-1)]
		v.avoidUntil = c.now + refusalBackoff
		if o.Refusal == proto.ReasonStale {
			v.avoidUntil = c.now + refusalBackoff*10
		}
	case proto.StateDone:
		c.learnRunTime(v, kind, max(1, float64(o.RunTime)))
		if !urgent {
			c.meanNormalRunTime += sampleWeight * (float64(o.RunTime) - c.meanNormalRunTime)
		}
	}
}

func (c *AgentController) learnRunTime(v *agentView, kind string, took float64) {
	mean, ok := c.runTimeByKind[kind]
	if !ok {
		mean = took
	}
	ratio := min(maxSlowness, took/mean)
	v.slowness += sampleWeight * (ratio - v.slowness)
	adjusted := took / max(1, v.slowness)
	c.runTimeByKind[kind] = mean + sampleWeight*(adjusted-mean)
	c.meanRunTime += sampleWeight * (adjusted - c.meanRunTime)
	if len(c.runTimeByKind) > maxKinds {
		clear(c.runTimeByKind)
	}
}

// maxKinds bounds the number of kinds of request whose run time is tracked.
const maxKinds = 1000

// RunTime returns the expected run time of a kind of request, in milliseconds.
func (c *AgentController) RunTime(kind string) float64 {
	if mean, ok := c.runTimeByKind[kind]; ok {
		return mean
	}
	return c.meanRunTime
}

// Slots returns the total number of slots of the agents that take tasks.
func (c *AgentController) Slots() int {
	n := 0
	for _, v := range c.views {
		if v.usable() {
			n += v.load.Slots
		}
	}
	return n
}

func (v *agentView) usable() bool {
	return v.connected && v.described && !v.lost && !v.load.Leaving && !v.load.Ejected && v.load.Slots > 0
}

// Pools of more than sampleAbove agents are sampled: sampleSize agents, chosen at random, are compared first.
const (
	sampleAbove = 32
	sampleSize  = 4
)

// Tick gives up the tasks of agents that have been disconnected too long and strikes silent agents.
func (c *AgentController) Tick() {
	for _, v := range slices.Clone(c.views) {
		silence := c.now - v.heardAt
		if !v.connected && !v.lost && silence > c.cfg.LostAfter {
			c.markLost(v)
		}
		if silence > c.cfg.StrikeAfter && c.maps.IsMember() && !c.maps.current.Cold && c.maps.isFirstAlive() {
			c.strike(v.id)
		}
	}
}

func (c *AgentController) strike(id shard.ID) {
	if c.maps.IsMember() && c.maps.isFirstAlive() {
		c.maps.Strike(id)
	}
}

func (c *AgentController) markLost(v *agentView) {
	if v.lost {
		return
	}
	v.lost = true
	v.inFlight = 0
	clear(c.pools)
	c.emit(event.Note{Name: "agent_lost", Peer: v.id})
	c.onLost(v.id)
}

// Prune removes disconnected agents that the map marks as lost.
func (c *AgentController) Prune() {
	for _, l := range c.maps.current.Lost {
		v := c.byID[l.Agent]
		if v == nil || v.connected {
			continue
		}
		c.markLost(v)
		c.remove(v)
	}
}

func (c *AgentController) remove(v *agentView) {
	if c.byWorker[v.worker] == v {
		delete(c.byWorker, v.worker)
	}
	delete(c.byID, v.id)
	c.views = slices.DeleteFunc(c.views, func(x *agentView) bool { return x == v })
	clear(c.pools)
}
