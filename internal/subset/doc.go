// Package subset chooses the agents that an entry keeps sessions with; it does no input or output.
package subset
