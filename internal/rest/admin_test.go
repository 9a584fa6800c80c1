package rest_test

import (
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

type fakeAdmin struct {
	ready bool
	err   error
	who   string
}

func (a *fakeAdmin) Apply(_ context.Context, base uint64, d *policy.Document) (uint64, error) {
	a.who = d.Who
	return base + 1, a.err
}

func (a *fakeAdmin) Config() *policy.Document {
	return &policy.Document{Version: 4, Rules: []policy.Rule{{Name: "r"}}, Tenants: []policy.Tenant{{Name: "shops"}, {Name: "depot"}}}
}

func (a *fakeAdmin) History(context.Context) ([]policy.Document, error) { return nil, nil }
func (a *fakeAdmin) Status() entry.Status                               { return entry.Status{Ready: a.ready} }
func (a *fakeAdmin) Strike(shard.ID)                                    {}

const operatorToken, tenantToken = "operator-token-01", "tenant-token-0001"

func ask(a *fakeAdmin, token, method, path, body string) *httptest.ResponseRecorder {
	tokens := []conf.Token{{Token: operatorToken, Who: "anna"}, {Token: tenantToken, Who: "bo", Tenant: "shops"}}
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	rest.NewAdminHandler(a, tokens, http.NotFoundHandler()).ServeHTTP(w, r)
	return w
}

func TestTokensLimitWhatIsSeenAndDone(t *testing.T) {
	qt.Check(t, ask(&fakeAdmin{}, "wrong", "GET", "/v1/config", "").Code, qt.Equals, http.StatusUnauthorized)
	qt.Check(t, ask(&fakeAdmin{}, tenantToken, "PUT", "/v1/config", "{}").Code, qt.Equals, http.StatusForbidden)
	qt.Check(t, ask(&fakeAdmin{}, tenantToken, "GET", "/v1/status", "").Code, qt.Equals, http.StatusForbidden)
	seen := ask(&fakeAdmin{}, tenantToken, "GET", "/v1/config", "").Body.String()
	qt.Check(t, seen, qt.Contains, "shops")
	qt.Check(t, seen, qt.Not(qt.Contains), "depot")
}

const change = `{"base_version":4,"configuration":{"change_id":"c","why":"w","who":"forged","rules":[],"tenants":[]}}`

func TestApplyTellsConflictsAndFaults(t *testing.T) {
	a := &fakeAdmin{}
	qt.Check(t, ask(a, operatorToken, "PUT", "/v1/config", change).Body.String(), qt.Contains, `"version":5`)
	qt.Check(t, a.who, qt.Equals, "anna")
	a.err = &rest.ConflictError{Current: &policy.Document{ChangeID: "other", Who: "bo"}}
	w := ask(a, operatorToken, "PUT", "/v1/config", change)
	qt.Check(t, w.Code, qt.Equals, http.StatusConflict)
	qt.Check(t, w.Body.String(), qt.Contains, "conflict with change other by bo")
	a.err = (&policy.Document{Rules: []policy.Rule{{Name: "x", Request: "a=("}}}).Validate()
	w = ask(a, operatorToken, "PUT", "/v1/config", change)
	qt.Check(t, w.Code, qt.Equals, http.StatusBadRequest)
	qt.Check(t, w.Body.String(), qt.Contains, "rules[0].request")
}

func TestReadiness(t *testing.T) {
	qt.Check(t, ask(&fakeAdmin{}, "", "GET", "/readyz", "").Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, ask(&fakeAdmin{ready: true}, "", "GET", "/readyz", "").Code, qt.Equals, http.StatusOK)
	qt.Check(t, ask(&fakeAdmin{}, "", "GET", "/healthz", "").Code, qt.Equals, http.StatusOK)
}
