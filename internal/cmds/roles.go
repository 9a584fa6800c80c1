package cmds

import (
	"context"
	"runtime/debug"

	"corianderspur.example/corianderspur/internal/conf"
	"corianderspur.example/corianderspur/internal/node"
)

func (a *App) addRoles() {
	entryCmd := &entryCommand{}
	clause := a.kp.Command("entry", "Run an entry, which takes jobs from callers.")
	clause.Flag("settings", "JSON file with the settings.").Required().StringVar(&entryCmd.settings)
	a.add(clause, entryCmd)

	agentCmd := &agentCommand{}
	clause = a.kp.Command("agent", "Run the agent beside a backend server.")
	clause.Flag("settings", "JSON file with the settings.").Required().StringVar(&agentCmd.settings)
	a.add(clause, agentCmd)

	check := &checkCommand{app: a}
	clause = a.kp.Command("check", "Check a settings file and print what would be used.")
	clause.Arg("role", "entry or agent").Required().EnumVar(&check.role, "entry", "agent")
	clause.Arg("settings", "JSON file with the settings.").Required().StringVar(&check.settings)
	a.add(clause, check)
}

type entryCommand struct {
	settings string
}

func (c *entryCommand) run(ctx context.Context) error {
	cfg, err := conf.LoadEntry(c.settings)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	incarnation, seed := node.NewIncarnation()
	return node.RunEntry(ctx, cfg, incarnation, seed, node.NewLogger(cfg.Name))
}

// agentGCPercent trades processor time for memory: an agent holds tens of thousands of records and does little.
const agentGCPercent = 25

type agentCommand struct {
	settings string
}

func (c *agentCommand) run(ctx context.Context) error {
	cfg, err := conf.LoadAgent(c.settings)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	debug.SetGCPercent(agentGCPercent)
	incarnation, _ := node.NewIncarnation()
	return node.RunAgent(ctx, cfg, incarnation, node.NewLogger(cfg.Name))
}

type checkCommand struct {
	app      *App
	role     string
	settings string
}

func (c *checkCommand) run(context.Context) error {
	if c.role == "agent" {
		cfg, err := conf.LoadAgent(c.settings)
		if err != nil {
			return &exitError{code: ExitUsage, err: err}
		}
		return c.app.printJSON(cfg)
	}
	cfg, err := conf.LoadEntry(c.settings)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	for i := range cfg.Tokens {
		cfg.Tokens[i].Token = "(hidden)"
	}
	return c.app.printJSON(cfg)
}
