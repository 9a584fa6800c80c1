// Package runs holds an agent's state machine for leased runs: it tracks the backend server's capacity exactly, renews its
// lease, and stops the runs of a dispatcher that has gone silent.
package runs
