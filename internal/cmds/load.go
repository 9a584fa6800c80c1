package cmds

import (
	"context"

	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/load"
	"corianderspur.example/corianderspur/internal/node"
)

func (a *App) addLoad() {
	c := &loadCommand{app: a}
	clause := a.kp.Command("load", "Offer jobs at a given rate and measure what becomes of them.")
	clause.Flag("entry", "Callers' address of an entry; may be repeated.").Required().StringsVar(&c.cfg.Entries)
	clause.Flag("figures", "Address of a process's figures; may be repeated.").StringsVar(&c.cfg.Admins)
	clause.Flag("backend", "Address of a stand-in backend server; may be repeated.").StringsVar(&c.cfg.Backends)
	clause.Flag("deployment", "Mix of requests: bygdens or hanbit.").Default("bygdens").StringVar(&c.cfg.Deployment)
	clause.Flag("load", "Work offered as a share of what the slots can do.").Default("0.8").Float64Var(&c.cfg.Load)
	clause.Flag("slots", "Slots of all backend servers.").Default("88").IntVar(&c.cfg.Slots)
	clause.Flag("seconds", "How long to offer jobs.").Default("10").IntVar(&c.cfg.Seconds)
	clause.Flag("burst", "Jobs that arrive together.").Default("1").IntVar(&c.cfg.Burst)
	clause.Flag("resubmit", "Share of jobs that are submitted twice.").Default("0").Float64Var(&c.cfg.Resubmit)
	clause.Flag("seed", "Seed of the random sources.").Default("1").Uint64Var(&c.cfg.Seed)
	clause.Flag("output", "text or json").Short('o').Default("text").EnumVar(&c.output, "text", "json")
	clause.Flag("quiet", "Print no progress.").BoolVar(&c.quiet)
	a.add(clause, c)
}

type loadCommand struct {
	app    *App
	cfg    load.Config
	output string
	quiet  bool
}

func (c *loadCommand) run(ctx context.Context) error {
	c.cfg.Run, _ = node.NewIncarnation()
	if !c.quiet {
		c.cfg.Progress = c.app.errOut
	}
	r, err := load.Run(ctx, c.cfg)
	if err != nil {
		return err
	}
	if c.output == "json" {
		if err := c.app.printJSON(r); err != nil {
			return err
		}
	} else {
		r.Print(c.app.out)
	}
	if !r.Held() {
		return errors.New("something happened that must never happen")
	}
	return nil
}
