package entry

import (
	"github.com/fxamacker/cbor/v2"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
)

func (c *MapController) poll() {
	c.polledAt = c.now
	txn := table.Txn{Keys: []string{agent.MapKey, ConfigKey}}
	if c.IsMember() && c.now-c.lifeAt >= lifeEvery {
		c.lifeAt = c.now
		txn.Writes = []table.Write{{Key: entryPrefix + string(c.cfg.ID), Any: true, Value: []byte(c.cfg.Addr)}}
	}
	if !c.IsMember() {
		txn.Prefixes = []string{entryPrefix}
	}
	c.call = c.nextCall()
	c.emit(event.TableCall{Call: c.call, Txn: txn})
}

// writePending writes the pending map; repeating it after a lost reply settles whether it took effect.
func (c *MapController) writePending() {
	value, err := cbor.Marshal(c.pending)
	if err != nil {
		c.emit(event.Note{Name: "map_unencodable", Reason: err.Error()})
		c.pending = nil
		return
	}
	txn := table.Txn{
		Writes: []table.Write{{Key: agent.MapKey, IfVersion: c.pending.Version - 1, Value: value}},
		Keys:   []string{agent.MapKey, ConfigKey},
	}
	for _, id := range c.deletes {
		txn.Writes = append(txn.Writes, table.Write{Key: agent.DirPrefix + string(id), Any: true})
	}
	c.call = c.nextCall()
	c.casCall = true
	c.emit(event.TableCall{Call: c.call, Txn: txn})
}

// TableDone takes the outcome of a read or a write of the map.
func (c *MapController) TableDone(e event.TableDone) {
	if e.Call != c.call {
		return
	}
	cas := c.casCall
	c.call = 0
	c.casCall = false
	if e.Err != nil {
		return
	}
	c.tableOK = c.now
	m := c.decode(e.Reply.Row(agent.MapKey))
	if cas {
		c.settle(e.Reply.Applied, m)
	} else {
		c.watchLife(e.Reply.Rows)
		c.create(e.Reply.Row(agent.MapKey))
	}
	if m != nil {
		c.adopt(m)
	}
	if row := e.Reply.Row(ConfigKey); row.Version > 0 {
		c.onConfig(row)
	}
}

func (c *MapController) decode(row table.Row) *shard.Map {
	if row.Version == 0 {
		return nil
	}
	m := &shard.Map{}
	if err := cbor.Unmarshal(row.Value, m); err != nil {
		c.emit(event.Note{Name: "map_unreadable", Reason: err.Error()})
		return nil
	}
	return m
}

func (c *MapController) settle(applied bool, found *shard.Map) {
	name := "map_write_lost_race"
	if applied || (found != nil && found.Version == c.pending.Version && found.Writer == c.cfg.ID) {
		name = "map_written"
	}
	c.emit(event.Note{Name: name, Version: c.pending.Version})
	c.pending = nil
	c.deletes = nil
}

// create proposes the first map of a deployment when the table has none.
func (c *MapController) create(row table.Row) {
	if row.Version == 0 && c.m == nil {
		c.pending = shard.New(c.self(), c.cfg.Shards, c.cfg.Terms)
	}
}

// watchLife notes when any entry of the map last showed a sign of life in the table.
func (c *MapController) watchLife(rows []table.Row) {
	for _, row := range rows {
		if len(row.Key) <= len(entryPrefix) || row.Key[:len(entryPrefix)] != entryPrefix {
			continue
		}
		id := shard.ID(row.Key[len(entryPrefix):])
		known := c.m != nil && c.m.Member(id) != nil
		if known && c.lifeSeen[row.Key] != row.Version {
			c.lifeSeen[row.Key] = row.Version
			c.lifeFresh = c.now
		}
	}
}
