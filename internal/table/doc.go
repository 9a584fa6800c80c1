// Package table defines what the system needs of the platform's transactional table service and a client for it.
package table
