// Package client is a client of the callers' and the operators' HTTP interfaces.
package client
