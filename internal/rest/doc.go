// Package rest serves the HTTP interfaces of an entry: one for callers and one for operators.
package rest
