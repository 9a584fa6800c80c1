// Package logs writes structured log lines without ever blocking the process that logs.
package logs
