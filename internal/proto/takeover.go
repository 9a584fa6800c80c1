package proto

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/shard"
)

// ShardEpoch identifies a shard and one of its epochs.
type ShardEpoch struct {
	Shard int    `cbor:"shard"`
	Epoch uint64 `cbor:"epoch"`
}

// Fence tells an agent that the sender owns shards from the given epochs on, and asks for the agent's records of them.
type Fence struct {
	Map    *shard.Map   `cbor:"map"`
	Shards []ShardEpoch `cbor:"shards"`
}

// Record is an agent's record of the tasks of one job.
type Record struct {
	Key      shard.Key `cbor:"key"`
	Digest   uint64    `cbor:"digest"`
	Outcomes []Outcome `cbor:"outcomes"`
}

// Fenced confirms a Fence for one shard: the agent accepts no more starts under an older epoch.
type Fenced struct {
	Shard   int      `cbor:"shard"`
	Epoch   uint64   `cbor:"epoch"`
	Records []Record `cbor:"records,omitempty"`
}

// TaskState is an owner's state of one task.
type TaskState struct {
	Agent   shard.ID `cbor:"agent,omitempty"`
	Attempt int      `cbor:"attempt,omitempty"`
	State   State    `cbor:"state,omitempty"`
	Output  []byte   `cbor:"output,omitempty"`
}

// JobState is an owner's state of one job; Age is the time since the job was last requested, in milliseconds.
type JobState struct {
	Key    shard.Key    `cbor:"key"`
	Digest uint64       `cbor:"digest"`
	Age    clock.Millis `cbor:"age"`
	Tasks  []TaskState  `cbor:"tasks"`
	Answer *Answer      `cbor:"answer,omitempty"`
	// RanBefore speaks of the starts that Tasks no longer shows; entries of older versions leave it out.
	RanBefore Ran `cbor:"ran_before,omitempty"`
}

// EarlierStarts reports whether any start that Tasks no longer shows was carried out. If the sender left that out, each
// attempt before the one that a task's state shows may have run.
func (s *JobState) EarlierStarts() Ran {
	if s.RanBefore != "" {
		return s.RanBefore
	}
	for _, t := range s.Tasks {
		if t.Attempt > 1 || (t.Attempt > 0 && t.State == 0) {
			return RanUnknown
		}
	}
	return RanNo
}

// Handover transfers the state of one shard to its new owner.
type Handover struct {
	Shard int    `cbor:"shard"`
	Epoch uint64 `cbor:"epoch"`
	// Complete says that the sender knows every start in the shard within the retention time.
	Complete bool `cbor:"complete"`
	// Moves is the sender's count of changes of owner since all starts in the shard were last known.
	Moves int        `cbor:"moves,omitempty"`
	Jobs  []JobState `cbor:"jobs,omitempty"`
}

// Handovers asks the former owner of shards for their state.
type Handovers struct {
	Map    *shard.Map   `cbor:"map"`
	Shards []ShardEpoch `cbor:"shards"`
}

// Check asks an agent whether the sender's epochs are still the newest that it has seen.
type Check struct {
	Nonce  uint64       `cbor:"nonce"`
	Shards []ShardEpoch `cbor:"shards"`
}

// Checked replies to a Check; Valid lists the shards of which the agent has seen no newer epoch, and is empty unless the
// agent's lease is valid.
type Checked struct {
	Nonce uint64 `cbor:"nonce"`
	Valid []int  `cbor:"valid,omitempty"`
}

// RecordTransfer transfers the records of an agent in a planned stop to another agent, through an entry.
type RecordTransfer struct {
	Of      shard.ID      `cbor:"of"`
	Records []ShardRecord `cbor:"records,omitempty"`
}

// ShardRecord is a record with the shard of its job.
type ShardRecord struct {
	Shard  int    `cbor:"shard"`
	Record Record `cbor:"record"`
}

// RecordTransferAck confirms that an agent has stored the records of another.
type RecordTransferAck struct {
	Of shard.ID `cbor:"of"`
}
