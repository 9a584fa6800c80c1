// Package subset chooses the agents to which an entry keeps sessions; it does no input or output.
package subset
