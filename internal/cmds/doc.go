// Package cmds holds the commands of the corianderspur program.
package cmds
