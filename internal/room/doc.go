// Package room counts the resources that tasks need and that backend servers have.
package room
