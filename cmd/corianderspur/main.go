// Corianderspur dispatches sub-second tasks.
package main

import (
	"os"

	"corianderspur.example/corianderspur/internal/cmds"
)

func main() {
	os.Exit(cmds.New(os.Stdout, os.Stderr).Run(os.Args[1:]))
}
