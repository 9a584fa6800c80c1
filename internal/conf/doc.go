// Package conf reads and checks the settings of each process.
package conf
