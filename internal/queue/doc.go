// Package queue provides a bounded queue with two classes that is fair between tenants.
package queue
