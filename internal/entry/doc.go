// Package entry implements the state machine of an entry, the process behind the load balancer. It forwards each job to
// the entry that owns the job's shard; as the owner it admits the job, dispatches its tasks to agents and answers it.
package entry
