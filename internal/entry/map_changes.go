package entry

import (
	"slices"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/shard"
)

// proposeChange writes the next map if anything has to change and the table has replied recently.
func (c *MapController) proposeChange() bool {
	if c.current == nil || c.now-c.tableRepliedAt > maxTableAge {
		return false
	}
	if !c.IsMember() {
		return c.proposeColdStart()
	}
	next := c.current.Next(c.cfg.ID)
	c.pendingDeletes = nil
	changed := c.changeSelf(next)
	changed = c.changeMembers(next) || changed
	changed = c.changeAgents(next) || changed
	for _, n := range c.settledShards() {
		next.Shards[n].Moves = 0
		changed = true
	}
	if changed {
		next.Balance()
		c.pending = next
		c.writePending()
	}
	return changed
}

func (c *MapController) changeSelf(next *shard.Map) bool {
	changed := false
	self := next.Member(c.cfg.ID)
	if c.stopping && !self.Leaving {
		self.Leaving = true
		changed = true
	}
	if c.drained && len(next.Members) > 1 {
		next.Remove(c.cfg.ID)
		changed = true
	}
	if c.coldStartOver && next.Cold {
		next.Cold = false
		changed = true
	}
	return changed
}

func (c *MapController) changeMembers(next *shard.Map) bool {
	changed := false
	for _, member := range c.joinRequests {
		if p := c.peers[member.ID]; p != nil && p.connected {
			next.Add(member)
			changed = true
		}
	}
	c.joinRequests = nil
	if !c.isFirstAlive() {
		return changed
	}
	for _, member := range c.current.Members {
		if c.suspected(member.ID) {
			next.Remove(member.ID)
			changed = true
			c.emit(event.Note{Name: "entry_suspected", Peer: member.ID, Took: c.now - c.peerOrNew(member.ID).heardAt})
		}
	}
	return changed
}

func (c *MapController) suspected(id shard.ID) bool {
	return id != c.cfg.ID && c.now-c.peerOrNew(id).heardAt > c.cfg.SuspectAfter
}

// isFirstAlive reports whether this entry is the first member that it does not suspect.
func (c *MapController) isFirstAlive() bool {
	for _, member := range c.current.Members {
		if !c.suspected(member.ID) {
			return member.ID == c.cfg.ID
		}
	}
	return false
}

func (c *MapController) changeAgents(next *shard.Map) bool {
	changed := false
	for _, id := range c.strikes {
		next.MarkLost(id)
		c.pendingDeletes = append(c.pendingDeletes, id)
		changed = true
		c.emit(event.Note{Name: "agent_struck", Peer: id})
	}
	c.strikes = nil
	if !c.isFirstAlive() {
		return changed
	}
	keepFor := c.current.Terms.Retention + c.current.Terms.Lease + c.current.Terms.Margin
	count := len(next.Lost)
	next.Lost = slices.DeleteFunc(next.Lost, func(l shard.LostAgent) bool {
		at, ok := c.lostSeenAt[l.Agent]
		return ok && c.now-at > keepFor
	})
	return changed || len(next.Lost) != count
}

// proposeColdStart replaces all members when none is connected and no liveness row has changed for ColdStartAfter.
func (c *MapController) proposeColdStart() bool {
	if c.stopping || c.now-c.livenessChangedAt < c.cfg.ColdStartAfter || c.now-c.adoptedAt < c.cfg.ColdStartAfter {
		return false
	}
	for _, member := range c.current.Members {
		if p := c.peers[member.ID]; p != nil && p.connected {
			return false
		}
	}
	next := c.current.Next(c.cfg.ID)
	next.Cold = true
	next.Members = []shard.Member{c.self()}
	for i := range next.Shards {
		next.Shards[i] = shard.Owner{
			ID: c.cfg.ID, Epoch: next.Shards[i].Epoch + 1, Moves: next.Shards[i].Moves + 1,
		}
	}
	c.pending = next
	c.emit(event.Note{Name: "cold_start", Version: next.Version})
	c.writePending()
	return true
}
