// Package evac keeps which availability zones the operators have evacuated, at which version of the store, and which session has heard
// of it.
package evac
