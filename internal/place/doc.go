// Package place assigns the tasks of a job to agents; it holds no state and does no input or output.
package place
