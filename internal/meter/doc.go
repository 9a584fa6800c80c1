// Package meter records a process's metrics by OpenTelemetry and serves them.
package meter
