// Package policy holds the operators' configuration document and decides from it how requests are handled.
package policy
