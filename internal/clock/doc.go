// Package clock provides time as whole milliseconds of a monotonic clock.
package clock
