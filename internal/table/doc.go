// Package table defines the interface to the platform's transactional table service, and an HTTP client for it.
package table
