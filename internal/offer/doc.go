// Package offer decides to which of the dispatchers that wait an agent offers capacity; it does no input or output.
package offer
