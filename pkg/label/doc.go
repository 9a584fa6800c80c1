// Package label holds sets of labels and the selectors that match them.
package label
