package entry

import (
	"slices"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/shard"
)

// proposeChange writes the next map if anything calls for one and the table answered lately.
func (c *MapController) proposeChange() bool {
	if c.m == nil || c.now-c.tableOK > recentTable {
		return false
	}
	if !c.IsMember() {
		return c.proposeColdStart()
	}
	next := c.m.Next(c.cfg.ID)
	c.deletes = nil
	changed := c.changeSelf(next)
	changed = c.changeMembers(next) || changed
	changed = c.changeAgents(next) || changed
	for _, n := range c.settled() {
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
	if c.coldClear && next.Cold {
		next.Cold = false
		changed = true
	}
	return changed
}

func (c *MapController) changeMembers(next *shard.Map) bool {
	changed := false
	for _, member := range c.joins {
		if p := c.peers[member.ID]; p != nil && p.connected {
			next.Add(member)
			changed = true
		}
	}
	c.joins = nil
	if !c.isFirstAlive() {
		return changed
	}
	for _, member := range c.m.Members {
		if c.suspected(member.ID) {
			next.Remove(member.ID)
			changed = true
			c.emit(event.Note{Name: "entry_suspected", Peer: member.ID, Took: c.now - c.peer(member.ID).heard})
		}
	}
	return changed
}

func (c *MapController) suspected(id shard.ID) bool {
	return id != c.cfg.ID && c.now-c.peer(id).heard > c.cfg.SuspectAfter
}

// isFirstAlive reports whether this entry is the first member that it does not suspect.
func (c *MapController) isFirstAlive() bool {
	for _, member := range c.m.Members {
		if !c.suspected(member.ID) {
			return member.ID == c.cfg.ID
		}
	}
	return false
}

func (c *MapController) changeAgents(next *shard.Map) bool {
	changed := false
	for _, id := range c.strikes {
		next.Strike(id)
		c.deletes = append(c.deletes, id)
		changed = true
		c.emit(event.Note{Name: "agent_struck", Peer: id})
	}
	c.strikes = nil
	if !c.isFirstAlive() {
		return changed
	}
	keep := c.m.Terms.Retention + c.m.Terms.Lease + c.m.Terms.Margin
	count := len(next.Lost)
	next.Lost = slices.DeleteFunc(next.Lost, func(l shard.Loss) bool {
		at, ok := c.lostSeen[l.Agent]
		return ok && c.now-at > keep
	})
	return changed || len(next.Lost) != count
}

// proposeColdStart replaces all members when none of them has shown any sign of life for long.
func (c *MapController) proposeColdStart() bool {
	if c.stopping || c.now-c.lifeFresh < c.cfg.ColdStartAfter || c.now-c.adopted < c.cfg.ColdStartAfter {
		return false
	}
	for _, member := range c.m.Members {
		if p := c.peers[member.ID]; p != nil && p.connected {
			return false
		}
	}
	next := c.m.Next(c.cfg.ID)
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
