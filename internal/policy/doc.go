// Package policy holds the operators' configuration document and decides by it how a request is treated.
package policy
