package queue

import "corianderspur.example/corianderspur/internal/clock"

// Expiry lists keys in the order in which they were added, each with a time in milliseconds.
type Expiry[K any] struct {
	entries []expiryEntry[K]
}

type expiryEntry[K any] struct {
	key   K
	added clock.Millis
}

// Add appends a key.
func (e *Expiry[K]) Add(key K, at clock.Millis) {
	e.entries = append(e.entries, expiryEntry[K]{key: key, added: at})
}

// Next removes and returns the first key if it was added at a time or before.
func (e *Expiry[K]) Next(at clock.Millis) (key K, ok bool) {
	if len(e.entries) == 0 || e.entries[0].added > at {
		return key, false
	}
	key = e.entries[0].key
	e.entries = e.entries[1:]
	return key, true
}
