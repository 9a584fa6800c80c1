// Package proto defines the messages between the processes of the system and their CBOR encoding.
package proto
