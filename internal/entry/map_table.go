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
	if c.IsMember() && c.now-c.livenessWrittenAt >= livenessInterval {
		c.livenessWrittenAt = c.now
		txn.Writes = []table.Write{{Key: entryPrefix + string(c.cfg.ID), Any: true, Value: []byte(c.cfg.Addr)}}
	}
	if !c.IsMember() {
		txn.Prefixes = []string{entryPrefix}
	}
	c.tableCall = c.nextCall()
	c.emit(event.TableCall{Call: c.tableCall, Txn: txn})
}

// writePending writes the pending map. Repeating the write after a lost reply shows whether it took effect.
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
	for _, id := range c.pendingDeletes {
		txn.Writes = append(txn.Writes, table.Write{Key: agent.DirPrefix + string(id), Any: true})
	}
	c.tableCall = c.nextCall()
	c.callIsWrite = true
	c.emit(event.TableCall{Call: c.tableCall, Txn: txn})
}

// TableDone handles the outcome of a read or a write of the map.
func (c *MapController) TableDone(e event.TableDone) {
	if e.Call != c.tableCall {
		return
	}
	wasWrite := c.callIsWrite
	c.tableCall = 0
	c.callIsWrite = false
	if e.Err != nil {
		return
	}
	c.tableRepliedAt = c.now
	m := c.decodeMap(e.Reply.Row(agent.MapKey))
	if wasWrite {
		c.finishWrite(e.Reply.Applied, m)
	} else {
		c.watchLiveness(e.Reply.Rows)
		c.proposeFirstMap(e.Reply.Row(agent.MapKey))
	}
	if m != nil {
		c.adopt(m)
	}
	if row := e.Reply.Row(ConfigKey); row.Version > 0 {
		c.onConfig(row)
	}
}

func (c *MapController) decodeMap(row table.Row) *shard.Map {
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

func (c *MapController) finishWrite(applied bool, found *shard.Map) {
	name := "map_write_lost_race"
	if applied || (found != nil && found.Version == c.pending.Version && found.Writer == c.cfg.ID) {
		name = "map_written"
	}
	c.emit(event.Note{Name: name, Version: c.pending.Version})
	c.pending = nil
	c.pendingDeletes = nil
}

// proposeFirstMap proposes the first map of a deployment when the table has none.
func (c *MapController) proposeFirstMap(row table.Row) {
	if row.Version == 0 && c.current == nil {
		c.pending = shard.New(c.self(), c.cfg.Shards, c.cfg.Terms)
	}
}

// watchLiveness records when the liveness row of any entry of the map last changed.
func (c *MapController) watchLiveness(rows []table.Row) {
	for _, row := range rows {
		if len(row.Key) <= len(entryPrefix) || row.Key[:len(entryPrefix)] != entryPrefix {
			continue
		}
		id := shard.ID(row.Key[len(entryPrefix):])
		known := c.current != nil && c.current.Member(id) != nil
		if known && c.livenessVersions[row.Key] != row.Version {
			c.livenessVersions[row.Key] = row.Version
			c.livenessChangedAt = c.now
		}
	}
}
