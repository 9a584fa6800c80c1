package cmds

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDisturbancesAreListed(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/disturbances" {
			_, _ = w.Write([]byte(`{"disturbances":[{"service":"s","kind":"a","by":"b","factor":1.5,"low":1.25,"high":1.75,"samples":300,"age_ms":2000}]}`))
		}
	}))
	defer entry.Close()
	addr := strings.TrimPrefix(entry.URL, "http://")
	run := func(args ...string) (code int, out string) {
		var stdout, stderr bytes.Buffer
		code = New(&stdout, &stderr).Run(append([]string{"disturbances", "--metrics", addr}, args...))
		return code, stdout.String()
	}
	code, out := run()
	qt.Check(t, code, qt.Equals, ExitOK)
	qt.Check(t, strings.Fields(strings.Split(out, "\n")[1]), qt.DeepEquals, []string{"s", "a", "b", "1.50", "1.25", "to", "1.75", "300", "2s"})
	code, out = run("-o", "json")
	qt.Check(t, code, qt.Equals, ExitOK)
	qt.Check(t, strings.Contains(out, `"factor": 1.5`), qt.IsTrue)

	entry.Close()
	code, _ = run()
	qt.Check(t, code, qt.Equals, ExitFailed)
}
