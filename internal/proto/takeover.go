package proto

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/shard"
)

// ShardEpoch names a shard and an epoch of it.
type ShardEpoch struct {
	Shard int    `cbor:"shard"`
	Epoch uint64 `cbor:"epoch"`
}

// Fence tells an agent that the sender owns shards from the given epochs on and asks for its records of them.
type Fence struct {
	Map    *shard.Map   `cbor:"map"`
	Shards []ShardEpoch `cbor:"shards"`
}

// Record is what an agent holds about the tasks of one job.
type Record struct {
	Key      shard.Key `cbor:"key"`
	Digest   uint64    `cbor:"digest"`
	Outcomes []Outcome `cbor:"outcomes"`
}

// Fenced confirms a Fence for one shard: no start under an older epoch happens after it.
type Fenced struct {
	Shard   int      `cbor:"shard"`
	Epoch   uint64   `cbor:"epoch"`
	Records []Record `cbor:"records,omitempty"`
}

// TaskMemory is what an owner knows of one task.
type TaskMemory struct {
	Agent   shard.ID `cbor:"agent,omitempty"`
	Attempt int      `cbor:"attempt,omitempty"`
	State   State    `cbor:"state,omitempty"`
	Output  []byte   `cbor:"output,omitempty"`
}

// JobMemory is what an owner knows of one job; Age is the time since it was last asked for, in milliseconds.
type JobMemory struct {
	Key    shard.Key    `cbor:"key"`
	Digest uint64       `cbor:"digest"`
	Age    clock.Millis `cbor:"age"`
	Tasks  []TaskMemory `cbor:"tasks"`
	Answer *Answer      `cbor:"answer,omitempty"`
}

// Handover gives the memory of one shard to its new owner.
type Handover struct {
	Shard int    `cbor:"shard"`
	Epoch uint64 `cbor:"epoch"`
	// Complete says that the sender knew of every start of the shard within the retention time.
	Complete bool `cbor:"complete"`
	// Moves is how often, as far as the sender knew, starts may have become unknown.
	Moves int         `cbor:"moves,omitempty"`
	Jobs  []JobMemory `cbor:"jobs,omitempty"`
}

// Handovers asks the former owner of shards for their memory.
type Handovers struct {
	Map    *shard.Map   `cbor:"map"`
	Shards []ShardEpoch `cbor:"shards"`
}

// Check asks an agent whether the sender's epochs are still the newest that it has seen.
type Check struct {
	Nonce  uint64       `cbor:"nonce"`
	Shards []ShardEpoch `cbor:"shards"`
}

// Checked answers a Check; Valid lists the shards of which the agent, being current, has seen no newer epoch.
type Checked struct {
	Nonce uint64 `cbor:"nonce"`
	Valid []int  `cbor:"valid,omitempty"`
}

// Custody gives the records of an agent that stops as planned to another agent, by way of an entry.
type Custody struct {
	Of      shard.ID      `cbor:"of"`
	Records []ShardRecord `cbor:"records,omitempty"`
}

// ShardRecord is a record with the shard of its job.
type ShardRecord struct {
	Shard  int    `cbor:"shard"`
	Record Record `cbor:"record"`
}

// Taken confirms that an agent keeps the records of another.
type Taken struct {
	Of shard.ID `cbor:"of"`
}
