package queue

import "corianderspur.example/corianderspur/internal/clock"

// Expiry is a FIFO queue of keys, each with a time in milliseconds.
type Expiry[K any] struct {
	entries []expiryEntry[K]
}

type expiryEntry[K any] struct {
	key K
	at  clock.Millis
}

// Add appends a key.
func (e *Expiry[K]) Add(key K, at clock.Millis) {
	e.entries = append(e.entries, expiryEntry[K]{key: key, at: at})
}

// Next removes and returns the first key if its time is not after at.
func (e *Expiry[K]) Next(at clock.Millis) (key K, ok bool) {
	if len(e.entries) == 0 || e.entries[0].at > at {
		return key, false
	}
	key = e.entries[0].key
	e.entries = e.entries[1:]
	return key, true
}
