package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
)

// Exit codes of the program.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitRefused  = 3
	ExitConflict = 4
	ExitUnknown  = 5
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

type command interface {
	run(ctx context.Context) error
}

// App is the corianderspur program.
type App struct {
	kp       *kingpin.Application
	out      io.Writer
	errOut   io.Writer
	commands map[string]command
}

const appHelp = `Dispatcher for sub-second tasks.

Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 refused and not run, 4 conflict with another change,
5 outcome unknown.`

// New creates the program, writing results to out and faults to errOut.
func New(out, errOut io.Writer) *App {
	a := &App{kp: kingpin.New("corianderspur", appHelp), out: out, errOut: errOut, commands: map[string]command{}}
	a.kp.UsageWriter(out).ErrorWriter(errOut)
	a.kp.HelpFlag.Short('h')
	a.addRoles()
	a.addOperator()
	a.addDisturbances()
	a.addCaller()
	a.addLoad()
	return a
}

func (a *App) add(clause *kingpin.CmdClause, c command) {
	a.commands[clause.FullCommand()] = c
}

// Add adds a command: setup takes its flags and returns what it does. A fault of the command ends the program.
func (a *App) Add(name, help string, setup func(clause *kingpin.CmdClause) func(ctx context.Context) error) {
	parent, leaf, nested := strings.Cut(name, " ")
	var clause *kingpin.CmdClause
	if nested {
		group := a.kp.GetCommand(parent)
		if group == nil {
			group = a.kp.Command(parent, "Roles on "+parent+"s.")
		}
		clause = group.Command(leaf, help)
	} else {
		clause = a.kp.Command(name, help)
	}
	a.add(clause, commandFunc(setup(clause)))
}

type commandFunc func(ctx context.Context) error

func (f commandFunc) run(ctx context.Context) error { return f(ctx) }

// Run carries out one command line and returns the exit code.
func (a *App) Run(args []string) int {
	name, err := a.kp.Parse(args)
	if err != nil {
		fmt.Fprintf(a.errOut, "corianderspur: %v, try --help\n", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = a.commands[name].run(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(a.errOut, "corianderspur: %v\n", err)
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}

func (a *App) printJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
