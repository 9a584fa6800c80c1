package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	service = "huvo11a"
	host    = "nony24.example"
	// resendAfter is retransmitMs.
	resendAfter = 1300 * time.Millisecond
)

// route is a queue of the operator's configuration.
type route struct {
	prefix    string
	priority  int
	attempts  int
	timeoutMs int
}

// configure writes the operator's configuration.
func (w *world) configure(routes ...route) {
	list := []map[string]any{}
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": host, "pathPrefix": r.prefix, "kind": "non_idempotent", "timeoutMs": r.timeoutMs, "sloMs": 60,
			"priority": r.priority, "service": service, "maxAttempts": r.attempts, "stretch": 1.6,
		})
	}
	value, _ := json.Marshal(map[string]any{
		"version": 7, "routes": list,
		"services": []map[string]any{{
			"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.store.set(row{Table: "op", Key: "config", Value: value})
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// stepsOf returns a chain of steps of equal tasks; each waits for the one before.
func stepsOf(steps, tasks, ms int) []map[string]any {
	list := []map[string]any{}
	for i := range steps {
		s := map[string]any{"count": tasks, "cpu": 1600, "memMb": 64, "estimateMs": ms}
		if i > 0 {
			s["after"] = []int{i - 1}
		}
		list = append(list, s)
	}
	return list
}

// call sends one request on a connection of its own and returns the status, or 0 if there was no answer within the wait.
func (w *world) call(who, method, addr, path string, wait time.Duration, doc any) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	text := ""
	if doc != nil {
		b, _ := json.Marshal(doc)
		text = string(b)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(text))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	w.logf("%s: %s %s", who, method, path)
	a, err := (&http.Client{Transport: transport}).Do(q)
	if err != nil {
		w.logf("%s: %s %s: no answer", who, method, path)
		return 0, ""
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	w.logf("%s: %s %s: %d %s", who, method, path, a.StatusCode, b)
	return a.StatusCode, string(b)
}
