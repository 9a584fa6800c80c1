// Package event defines the events that the state machines of entries and agents handle and the actions that they return.
package event
