// Package stand holds small stand-ins for the platform's table service and for backend servers, for tests and demos.
package stand
