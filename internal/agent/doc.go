// Package agent holds the state machine of the process beside each backend server: it fences outdated owners, keeps
// records of what it started, and queues tasks for the slots of its backend server.
package agent
