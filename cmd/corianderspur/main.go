// Corianderspur dispatches sub-second tasks.
package main

import (
	"os"

	"corianderspur.example/corianderspur/internal/cmds"
	"corianderspur.example/corianderspur/platform"
)

func main() {
	app := cmds.New(os.Stdout, os.Stderr)
	platform.Register(app)
	os.Exit(app.Run(os.Args[1:]))
}
