// Package study compares policies of dispatch on drawn loads: the product in the emulator, central dispatchers that know
// everything without delay, and an upper bound on what any schedule could earn.
package study
