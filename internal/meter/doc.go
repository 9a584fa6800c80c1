// Package meter counts what a process does, by OpenTelemetry, and serves the figures.
package meter
