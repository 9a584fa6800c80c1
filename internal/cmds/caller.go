package cmds

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/pkg/client"
)

// answerSlack is added to a job's deadline to get the time that a command waits for the response.
const answerSlack = 5 * time.Second

type callerFlags struct {
	app  *App
	addr string
}

func (f *callerFlags) bind(a *App, c *kingpin.CmdClause) {
	f.app = a
	c.Flag("entry", "IP address and port of an entry's callers' interface.").Envar("CORIANDERSPUR_ENTRY").Required().StringVar(&f.addr)
}

func (f *callerFlags) client() *client.Client {
	return &client.Client{Addr: f.addr, HTTP: http.DefaultClient}
}

func (a *App) addCaller() {
	submit := &submitCommand{}
	clause := a.kp.Command("submit", "Submit a job and print its answer.")
	submit.bind(a, clause)
	clause.Arg("file", "JSON file with the job; standard input if left out.").StringVar(&submit.file)
	a.add(clause, submit)

	cancel := &cancelCommand{}
	clause = a.kp.Command("cancel", "End a job that was submitted before.")
	cancel.bind(a, clause)
	clause.Arg("tenant", "Tenant of the job.").Required().StringVar(&cancel.tenant)
	clause.Arg("job", "Id of the job.").Required().StringVar(&cancel.job)
	a.add(clause, cancel)
}

type submitCommand struct {
	callerFlags
	file string
}

func (c *submitCommand) run(ctx context.Context) error {
	job, err := c.read()
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(job.DeadlineMS)*time.Millisecond+answerSlack)
	defer cancel()
	answer, err := c.client().Submit(ctx, job)
	if err != nil {
		return &exitError{code: ExitUnknown, err: err}
	}
	if err := c.app.printJSON(answer); err != nil {
		return err
	}
	return outcome(&answer)
}

func (c *submitCommand) read() (job client.Job, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "read job")
		}
	}()
	in := io.Reader(os.Stdin)
	if c.file != "" {
		file, err := os.Open(c.file)
		if err != nil {
			return job, err
		}
		defer file.Close()
		in = file
	}
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	return job, d.Decode(&job)
}

// outcome turns an answer into the error that leads to its exit code.
func outcome(a *client.Answer) error {
	err := errors.Errorf("job %s %s: %s, %s", a.JobID, a.Status, a.Reason, a.Run)
	switch {
	case a.Status == "complete":
		return nil
	case a.Run == "not_run":
		return &exitError{code: ExitRefused, err: err}
	case a.Run == "unknown":
		return &exitError{code: ExitUnknown, err: err}
	}
	return err
}

type cancelCommand struct {
	callerFlags
	tenant string
	job    string
}

func (c *cancelCommand) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	return c.client().Cancel(ctx, c.tenant, c.job)
}
