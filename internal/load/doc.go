// Package load submits jobs at a given rate, independent of the answers, and measures their outcomes.
package load
