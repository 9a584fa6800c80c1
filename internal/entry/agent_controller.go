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
	// avoidFor is how long an agent is passed over after it refused a start, in milliseconds.
	avoidFor = 20 * clock.Millis(1)
	// learnWeight is the weight of the newest sample in moving averages.
	learnWeight = 0.1
	// firstRunTime is the run time assumed before any task has ended, in milliseconds.
	firstRunTime = 300.0
	// slowest bounds by how much a worker's slowness counts in the choice.
	slowest = 20.0
	// flightTime is the age from which on an agent's report includes a start, in milliseconds.
	flightTime = 5 * clock.Millis(1)
	// frontShare is the share of agents to which urgent tasks are sent first and others last.
	frontShare = 0.15
)

type agentView struct {
	id        shard.ID
	worker    string
	zone      string
	labels    label.Set
	own       label.Set
	load      proto.Load
	known     bool
	connected bool
	heard     clock.Millis
	reported  clock.Millis
	// sent holds the times of the starts that the last report may not include.
	sent     []clock.Millis
	inFlight int
	avoid    clock.Millis
	slow     float64
	lost     bool
}

// AgentController keeps what this entry knows of each agent and chooses the agent for each task.
type AgentController struct {
	*common
	maps     *MapController
	config   *ConfigController
	views    []*agentView
	byID     map[shard.ID]*agentView
	byWorker map[string]*agentView
	eligible map[string]*pool
	runTime  map[string]float64
	meanRun  float64
	// meanNormal is the mean run time of tasks that are not urgent, in milliseconds.
	meanNormal float64
	// meanOthers is the mean share of an agent's slots that other entries use.
	meanOthers float64
	// onLost is called when tasks at an agent must be given up.
	onLost func(id shard.ID)
	// onRenamed is called when an agent goes on under a new identity.
	onRenamed func(from, to shard.ID)
}

// NewAgentController creates a controller that knows no agents.
func NewAgentController(c *common, maps *MapController, config *ConfigController) *AgentController {
	return &AgentController{
		common: c, maps: maps, config: config, byID: map[shard.ID]*agentView{},
		byWorker: map[string]*agentView{},
		eligible: map[string]*pool{}, runTime: map[string]float64{}, meanRun: firstRunTime, meanNormal: firstRunTime,
	}
}

// Invalidate forgets which agents each rule allows.
func (c *AgentController) Invalidate() {
	for _, v := range c.views {
		v.labels = c.config.policy.WorkerLabels(v.worker, v.own)
	}
	clear(c.eligible)
}

// SessionUp notes that an agent can be reached.
func (c *AgentController) SessionUp(id shard.ID) {
	v := c.byID[id]
	if v == nil {
		v = &agentView{id: id, slow: 1}
		c.byID[id] = v
		at, _ := slices.BinarySearchFunc(c.views, id, func(x *agentView, id shard.ID) int {
			return strings.Compare(string(x.id), string(id))
		})
		c.views = slices.Insert(c.views, at, v)
	}
	v.connected = true
	v.lost = false
	v.heard = c.now
	clear(c.eligible)
}

// SessionDown notes that an agent cannot be reached now.
func (c *AgentController) SessionDown(id shard.ID) {
	if v := c.byID[id]; v != nil {
		v.connected = false
	}
}

// Ping takes an agent's heartbeat.
func (c *AgentController) Ping(from shard.ID, p *proto.Ping) {
	v := c.byID[from]
	if v == nil {
		return
	}
	if p.Worker != "" {
		c.describe(v, p)
	}
	c.Report(v, p.Load)
	if p.Gone {
		v.connected = false
		c.giveUp(v)
		c.release(from, p.Handed)
	}
}

// release takes an agent that is gone out of the directory; only if its records are lost as well is it struck off.
func (c *AgentController) release(id shard.ID, handed bool) {
	if !handed {
		c.strike(id)
		return
	}
	c.forget(c.byID[id])
	c.emit(event.TableCall{Call: c.nextCall(), Txn: table.Txn{
		Writes: []table.Write{{Key: agent.DirPrefix + string(id), Any: true}},
	}})
}

// Custody passes the records of an agent that stops to another one.
func (c *AgentController) Custody(msg *proto.Custody) {
	for _, v := range c.views {
		if v.id != msg.Of && v.usable() {
			c.send(v.id, proto.Message{Custody: msg})
			return
		}
	}
}

// Taken passes the confirmation back.
func (c *AgentController) Taken(msg *proto.Taken) {
	c.send(msg.Of, proto.Message{Taken: msg})
}

func (c *AgentController) describe(v *agentView, p *proto.Ping) {
	v.worker = p.Worker
	v.zone = p.Zone
	v.known = true
	v.own = p.Labels.Merge(label.Set{"worker": p.Worker, "availability_zone": p.Zone})
	v.labels = c.config.policy.WorkerLabels(v.worker, v.own)
	clear(c.eligible)
	other := c.byWorker[v.worker]
	c.byWorker[v.worker] = v
	if other != nil && other != v {
		c.replace(other, v)
	}
}

// replace gives up an agent in whose place another has come, or follows it if it only changed its identity.
func (c *AgentController) replace(old, v *agentView) {
	if base(old.id) == base(v.id) {
		v.inFlight = old.inFlight
		c.onRenamed(old.id, v.id)
	}
	c.giveUp(old)
}

// base returns an agent's identity without the count of its renewals.
func base(id shard.ID) string {
	name, _, _ := strings.Cut(string(id), ".")
	return name
}

// Report takes the load that an agent put on a message.
func (c *AgentController) Report(v *agentView, load proto.Load) {
	v.heard = c.now
	v.reported = c.now
	if load.Slots != v.load.Slots {
		clear(c.eligible)
	}
	v.load = load
	v.sent = slices.DeleteFunc(v.sent, func(at clock.Millis) bool { return c.now-at > flightTime })
	if load.Slots > 0 {
		others := max(0, float64(load.Running+load.Queued+load.Held+len(v.sent)-v.inFlight)) / float64(load.Slots)
		c.meanOthers += learnWeight * (others - c.meanOthers)
	}
}

// Sent counts a start that was sent to an agent.
func (c *AgentController) Sent(v *agentView) {
	v.sent = append(v.sent, c.now)
	v.inFlight++
}

// Ended counts the end of a task at an agent and learns from its run time.
func (c *AgentController) Ended(id shard.ID, kind string, urgent bool, o *proto.Outcome) {
	v := c.byID[id]
	if v == nil {
		return
	}
	v.inFlight = max(0, v.inFlight-1)
	switch o.State {
	case proto.StateRefused:
		v.sent = v.sent[:max(0, len(v.sent)-1)]
		v.avoid = c.now + avoidFor
		if o.Refusal == proto.ReasonStale {
			v.avoid = c.now + avoidFor*10
		}
	case proto.StateDone:
		c.learn(v, kind, max(1, float64(o.RunTime)))
		if !urgent {
			c.meanNormal += learnWeight * (float64(o.RunTime) - c.meanNormal)
		}
	}
}

func (c *AgentController) learn(v *agentView, kind string, took float64) {
	mean, ok := c.runTime[kind]
	if !ok {
		mean = took
	}
	ratio := min(slowest, took/mean)
	v.slow += learnWeight * (ratio - v.slow)
	normal := took / max(1, v.slow)
	c.runTime[kind] = mean + learnWeight*(normal-mean)
	c.meanRun += learnWeight * (normal - c.meanRun)
	if len(c.runTime) > maxKinds {
		clear(c.runTime)
	}
}

// maxKinds bounds the kinds of request whose run time is learned.
const maxKinds = 1000

// RunTime returns the expected run time of a kind of request, in milliseconds.
func (c *AgentController) RunTime(kind string) float64 {
	if mean, ok := c.runTime[kind]; ok {
		return mean
	}
	return c.meanRun
}

// Slots returns the number of slots at agents that take tasks.
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
	return v.connected && v.known && !v.lost && !v.load.Leaving && !v.load.Ejected && v.load.Slots > 0
}

// sampleAbove is the number of agents above which only a random sample of them is compared.
const (
	sampleAbove = 32
	sampleSize  = 4
)

// Tick gives up tasks at agents that have been gone too long and has silent agents struck off.
func (c *AgentController) Tick() {
	for _, v := range slices.Clone(c.views) {
		silent := c.now - v.heard
		if !v.connected && !v.lost && silent > c.cfg.LostAfter {
			c.giveUp(v)
		}
		if silent > c.cfg.StrikeAfter && c.maps.IsMember() && !c.maps.m.Cold && c.maps.isFirstAlive() {
			c.strike(v.id)
		}
	}
}

func (c *AgentController) strike(id shard.ID) {
	if c.maps.IsMember() && c.maps.isFirstAlive() {
		c.maps.Strike(id)
	}
}

func (c *AgentController) giveUp(v *agentView) {
	if v.lost {
		return
	}
	v.lost = true
	v.inFlight = 0
	clear(c.eligible)
	c.emit(event.Note{Name: "agent_lost", Peer: v.id})
	c.onLost(v.id)
}

// Prune forgets agents that the map marks as lost.
func (c *AgentController) Prune() {
	for _, l := range c.maps.m.Lost {
		v := c.byID[l.Agent]
		if v == nil || v.connected {
			continue
		}
		c.giveUp(v)
		c.forget(v)
	}
}

func (c *AgentController) forget(v *agentView) {
	if c.byWorker[v.worker] == v {
		delete(c.byWorker, v.worker)
	}
	delete(c.byID, v.id)
	c.views = slices.DeleteFunc(c.views, func(x *agentView) bool { return x == v })
	clear(c.eligible)
}
