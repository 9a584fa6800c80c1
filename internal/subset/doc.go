// Package subset chooses the agents that a dispatcher keeps sessions with; it does no input or output.
package subset
