package cmds

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/conf"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/rest"
	"corianderspur.example/corianderspur/internal/shard"
)

// fakeEntry is an entry with one agent in the availability zone z1.
type fakeEntry struct {
	doc policy.Document
}

func (e *fakeEntry) Apply(_ context.Context, base uint64, d *policy.Document) (uint64, error) {
	e.doc = *d
	e.doc.Version = base + 1
	return e.doc.Version, nil
}

func (e *fakeEntry) Config() *policy.Document                           { return &e.doc }
func (e *fakeEntry) History(context.Context) ([]policy.Document, error) { return nil, nil }
func (e *fakeEntry) Strike(shard.ID)                                    {}
func (e *fakeEntry) Status() entry.Status {
	return entry.Status{Zone: "z0", Agents: []entry.AgentStatus{{Zone: "z1"}}}
}

// Operators evacuate a zone and restore it; what makes no sense is refused with its reason.
func TestOperatorsEvacuateAZone(t *testing.T) {
	const token = "operator-token-01"
	e := &fakeEntry{doc: policy.Document{Version: 4, Rules: []policy.Rule{}, Tenants: []policy.Tenant{}}}
	srv := httptest.NewServer(rest.NewAdminHandler(e, []conf.Token{{Token: token, Who: "anna"}}, http.NotFoundHandler()))
	defer srv.Close()
	run := func(args ...string) (code int, fault string) {
		var out, errOut bytes.Buffer
		args = append(args, "--admin", strings.TrimPrefix(srv.URL, "http://"), "--token", token, "--why", "power work")
		return New(&out, &errOut).Run(args), errOut.String()
	}
	code, fault := run("evacuate", "z1")
	qt.Check(t, code, qt.Equals, ExitOK, qt.Commentf("%s", fault))
	qt.Check(t, e.doc.Evacuated, qt.DeepEquals, []string{"z1"})
	qt.Check(t, e.doc.Who+": "+e.doc.Why, qt.Equals, "anna: power work")

	code, fault = run("evacuate", "z1")
	qt.Check(t, code, qt.Equals, ExitUsage)
	qt.Check(t, fault, qt.Contains, "evacuated already")
	code, fault = run("evacuate", "z9")
	qt.Check(t, code, qt.Equals, ExitRefused)
	qt.Check(t, fault, qt.Contains, `unknown availability zone \"z9\"; known are z0, z1`)
	code, fault = run("restore", "z9")
	qt.Check(t, code, qt.Equals, ExitUsage)
	qt.Check(t, fault, qt.Contains, "not evacuated")

	code, fault = run("restore", "z1")
	qt.Check(t, code, qt.Equals, ExitOK, qt.Commentf("%s", fault))
	qt.Check(t, e.doc.Evacuated, qt.HasLen, 0)
	qt.Check(t, e.doc.Version, qt.Equals, uint64(6))
}
