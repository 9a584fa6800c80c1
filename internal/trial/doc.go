// Package trial tests whole sessions of entries and agents: their state machines run unchanged, on a fake clock,
// against small fakes of the network, the table service, backend servers and callers.
package trial
