// Package entry holds the state machine of the processes behind the balancer: it routes jobs to the owner of their
// shard, and as an owner it admits them, dispatches their tasks to agents and answers them.
package entry
