// Package route holds the queues that callers submit to: it maps requests to queues and holds each queue's scheduling parameters.
package route
