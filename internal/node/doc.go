// Package node runs the state machine of an entry or an agent as a process: one control thread, and traffic around it.
package node
