package rest_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/rest"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/pkg/client"
)

type fakeDispatcher struct {
	answer  proto.Answer
	job     proto.Job
	lookup  bool
	thawing bool
}

func (d *fakeDispatcher) Submit(_ context.Context, job proto.Job, lookup bool) (*proto.Answer, error) {
	d.job = job
	d.lookup = lookup
	return &d.answer, nil
}

func (d *fakeDispatcher) Cancel(shard.Key) {}

func (d *fakeDispatcher) Resuming() bool { return d.thawing }

func send(d *fakeDispatcher, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	rest.NewCallerHandler(d).ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

const goodJob = `{"job_id":"j","tenant":"shops","labels":{"kind":"x"},"deadline_ms":100,"tasks":[{"payload":{"ms":1}}]}`

func TestStatusOfEachAnswer(t *testing.T) {
	for status, a := range map[int]proto.Answer{
		http.StatusOK:                 {Status: proto.StatusComplete, Run: proto.RanYes, Results: [][]byte{[]byte("1")}},
		http.StatusTooManyRequests:    {Status: proto.StatusRefused, Run: proto.RanNo, Reason: proto.ReasonOverload, RetryAfter: 1500},
		http.StatusForbidden:          {Status: proto.StatusRefused, Run: proto.RanNo, Reason: proto.ReasonDenied},
		http.StatusServiceUnavailable: {Status: proto.StatusRefused, Run: proto.RanNo, Reason: proto.ReasonNoWorker},
		http.StatusConflict:           {Status: proto.StatusRefused, Run: proto.RanYes, Reason: proto.ReasonConflict},
		http.StatusGatewayTimeout:     {Status: proto.StatusFailed, Run: proto.RanUnknown, Reason: proto.ReasonDeadline},
		http.StatusBadGateway:         {Status: proto.StatusFailed, Run: proto.RanYes, Reason: proto.ReasonTaskFailed},
	} {
		w := send(&fakeDispatcher{answer: a}, "POST", "/v1/jobs", goodJob)
		qt.Check(t, w.Code, qt.Equals, status)
		var got client.Answer
		qt.Check(t, json.Unmarshal(w.Body.Bytes(), &got), qt.IsNil)
		qt.Check(t, got.Run, qt.Equals, string(a.Run))
		if a.RetryAfter > 0 {
			qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, "2")
		}
	}
}

func TestFaultsNameTheField(t *testing.T) {
	for field, body := range map[string]string{
		"tenant":      strings.Replace(goodJob, "shops", "", 1),
		"job_id":      strings.Replace(goodJob, `"j"`, `""`, 1),
		"deadline_ms": strings.Replace(goodJob, "100", "0", 1),
		"tasks":       strings.Replace(goodJob, `{"payload":{"ms":1}}`, "", 1),
		"labels":      strings.Replace(goodJob, `"kind"`, `"a b"`, 1),
	} {
		w := send(&fakeDispatcher{}, "POST", "/v1/jobs", body)
		var got client.Problem
		qt.Check(t, json.Unmarshal(w.Body.Bytes(), &got), qt.IsNil)
		qt.Check(t, w.Code, qt.Equals, http.StatusBadRequest)
		qt.Check(t, got.Field, qt.Equals, field)
	}
	qt.Check(t, send(&fakeDispatcher{}, "POST", "/v1/jobs", `{"colour":1}`).Code, qt.Equals, http.StatusBadRequest)
	large := `{"job_id":"` + strings.Repeat("x", rest.MaxBody) + `"}`
	qt.Check(t, send(&fakeDispatcher{}, "POST", "/v1/jobs", large).Code, qt.Equals, http.StatusRequestEntityTooLarge)
}

// A request may have lain in the socket of a frozen process for longer than ids are remembered.
func TestRequestsAreTurnedAwayAfterAFreeze(t *testing.T) {
	d := &fakeDispatcher{thawing: true}
	w := send(d, "POST", "/v1/jobs", goodJob)
	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, w.Body.String(), qt.Contains, `"run":"unknown"`)
	qt.Check(t, d.job.ID, qt.Equals, "")
}

func TestFetchAsksOnly(t *testing.T) {
	d := &fakeDispatcher{answer: proto.Answer{Status: proto.StatusRefused, Reason: proto.ReasonUnknownJob}}
	w := send(d, "GET", "/v1/jobs/shops/j?wait_ms=50", "")
	qt.Check(t, w.Code, qt.Equals, http.StatusNotFound)
	qt.Check(t, d.lookup, qt.IsTrue)
	qt.Check(t, d.job.Key, qt.Equals, shard.NewKey("shops", "j"))
}

func FuzzSubmit(f *testing.F) {
	f.Add(goodJob)
	f.Add(`{"tasks":[{}]}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, body string) {
		d := &fakeDispatcher{answer: proto.Answer{Status: proto.StatusComplete}}
		if w := send(d, "POST", "/v1/jobs", body); w.Code == http.StatusOK && (d.job.ID == "" || len(d.job.Tasks) == 0) {
			t.Fatalf("accepted %q", body)
		}
	})
}
