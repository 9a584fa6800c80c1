// Package load offers jobs at a given rate, whatever the answers, and measures what becomes of them.
package load
