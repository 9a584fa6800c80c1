// Package wait orders waiting jobs and decides when a job is refused; it does no input or output.
package wait
