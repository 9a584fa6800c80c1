package entry

import (
	"strings"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
)

func (c *ShardController) readDirectory() {
	missing := false
	for _, s := range c.shards {
		missing = missing || (c.Held(s.number) != nil && s.unfenced == nil)
	}
	if !missing || c.directoryCall != 0 {
		return
	}
	c.directoryCall = c.nextCall()
	c.emit(event.TableCall{Call: c.directoryCall, Txn: table.Txn{
		Keys: []string{agent.MapKey}, Prefixes: []string{agent.DirPrefix},
	}})
}

// TableDone handles the reply with the directory of agents, which is used only if the map read with it is not older than
// the one that this entry holds. It reports whether the call was its own.
func (c *ShardController) TableDone(e event.TableDone) bool {
	if e.Call != c.directoryCall {
		return false
	}
	c.directoryCall = 0
	if e.Err != nil || e.Reply.Row(agent.MapKey).Version < c.maps.current.Version {
		return true
	}
	for _, s := range c.shards {
		if c.Held(s.number) == nil || s.unfenced != nil {
			continue
		}
		s.unfenced = map[shard.ID]bool{}
		for _, row := range e.Reply.Rows {
			if id, ok := strings.CutPrefix(row.Key, agent.DirPrefix); ok {
				s.unfenced[shard.ID(id)] = true
			}
		}
	}
	c.fence()
	c.advance()
	return true
}

// fence sends a fence to every connected agent that has not confirmed it yet.
func (c *ShardController) fence() {
	for _, v := range c.agents.views {
		if !v.connected {
			continue
		}
		f := &proto.Fence{Map: c.maps.current}
		for _, s := range c.shards {
			if c.Held(s.number) != nil && s.unfenced[v.id] {
				f.Shards = append(f.Shards, proto.ShardEpoch{Shard: s.number, Epoch: s.epoch})
			}
		}
		if len(f.Shards) > 0 {
			c.send(v.id, proto.Message{Fence: f})
		}
	}
}

// DropLostAgents stops waiting for fence confirmations of agents that the map marks as lost.
func (c *ShardController) DropLostAgents() {
	for _, s := range c.shards {
		for _, l := range c.maps.current.Lost {
			delete(s.unfenced, l.Agent)
		}
	}
}
