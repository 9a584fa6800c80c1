package agent

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Machine is the state machine of an agent; it does no I/O and is not safe for concurrent use.
type Machine struct {
	*common
	lease   *LeaseController
	records *RecordController
	runs    *RunController
}

// New creates the state machine of an agent that starts now.
func New(cfg Config, now clock.Millis) *Machine {
	c := &common{cfg: cfg, id: cfg.ID, now: now}
	lease := NewLeaseController(c)
	records := NewRecordController(c, lease)
	runs := NewRunController(c, lease, records)
	return &Machine{common: c, lease: lease, records: records, runs: runs}
}

// Handle processes an event that occurs at now, in milliseconds, and returns the actions to perform.
func (m *Machine) Handle(now clock.Millis, ev event.Event) []event.Action {
	m.now = now
	m.out = nil
	switch e := ev.(type) {
	case event.Tick:
		m.tick()
	case event.Received:
		m.receive(e.From, e.Message)
	case event.SessionUp:
		m.lease.PeerConnected(e.Peer, m.runs.Load())
		m.records.Resend(e.Peer)
	case event.SessionDown:
		m.lease.PeerDisconnected(e.Peer)
	case event.TableDone:
		m.lease.TableDone(e)
	case event.Stop:
		m.runs.Leave(true)
		m.broadcastLoad()
	case BackendAnnounced:
		m.runs.Announce(e)
	case BackendLeaving:
		m.runs.Leave(false)
		m.broadcastLoad()
	case RunDone:
		if m.runs.Done(e) {
			m.broadcastLoad()
		}
	}
	m.runs.StartQueued()
	return m.out
}

func (m *Machine) tick() {
	m.lease.Tick(m.runs.Load())
	m.records.Tick()
	if m.runs.Tick() {
		m.broadcastLoad()
	}
}

func (m *Machine) broadcastLoad() {
	m.lease.PingAll(m.runs.Load())
}

func (m *Machine) receive(from shard.ID, msg proto.Message) {
	switch {
	case msg.Pong != nil:
		m.lease.Pong(msg.Pong)
	case msg.Start != nil:
		m.runs.Start(msg.Start)
	case msg.Ack != nil:
		m.records.Ack(msg.Ack)
	case msg.Revoke != nil:
		m.runs.Revoke(msg.Revoke.Key)
	case msg.Fence != nil:
		m.lease.ApplyFence(msg.Fence)
		m.records.Report(from, msg.Fence.Shards)
	case msg.RecordTransfer != nil:
		m.acceptTransfer(from, msg.RecordTransfer)
	case msg.RecordTransferAck != nil:
		m.runs.TransferConfirmed(msg.RecordTransferAck)
	case msg.Check != nil:
		m.lease.Check(from, msg.Check)
	}
}

// acceptTransfer stores the records of an agent that stops, unless this agent is stopping itself.
func (m *Machine) acceptTransfer(from shard.ID, c *proto.RecordTransfer) {
	if m.runs.stopping {
		return
	}
	m.records.Adopt(c.Records)
	m.send(from, proto.Message{RecordTransferAck: &proto.RecordTransferAck{Of: c.Of}})
}

// ID returns the current identity of the agent.
func (m *Machine) ID() shard.ID {
	return m.id
}

// Status is what an agent reports about itself.
type Status struct {
	ID         shard.ID   `json:"id"`
	MapVersion uint64     `json:"map_version"`
	Current    bool       `json:"current"`
	Load       proto.Load `json:"load"`
	Records    int        `json:"records"`
	Unacked    int        `json:"unacknowledged"`
	Announced  bool       `json:"backend_server_announced"`
}

// Status returns the status of the agent at now, in milliseconds.
func (m *Machine) Status(now clock.Millis) Status {
	m.now = now
	s := Status{ID: m.id, Current: m.lease.Current(), Load: m.runs.Load(), Records: len(m.records.jobs)}
	s.Unacked = len(m.records.unacked)
	s.Announced = m.runs.announced
	if m.lease.shardMap != nil {
		s.MapVersion = m.lease.shardMap.Version
	}
	return s
}
