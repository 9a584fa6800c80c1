// Package emul simulates a deployment: it runs the unchanged state machines of dispatchers and agents on one fake clock,
// with fake backend servers, network links and callers, injects faults and checks invariants.
package emul
