// Package stale estimates what other dispatchers have left of the capacity that an old report names; it does no input or output.
package stale
