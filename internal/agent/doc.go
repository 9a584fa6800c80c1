// Package agent implements the state machine of the agent, the process beside each backend server. An agent rejects
// outdated shard owners, records which tasks it started, and queues tasks for the slots of its backend server.
package agent
