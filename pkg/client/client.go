package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
)

// maxBody bounds the responses read, in bytes.
const maxBody = 64 << 20

// Client speaks to one entry; Token is needed for the operators' interface only.
type Client struct {
	Addr  string
	Token string
	HTTP  *http.Client
}

// Submit sends a job and waits for its answer.
func (c *Client) Submit(ctx context.Context, job Job) (a Answer, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "submit job %s", job.JobID)
		}
	}()
	return a, c.call(ctx, http.MethodPost, "/v1/jobs", job, &a)
}

// Fetch waits for the answer to a job that was submitted before.
func (c *Client) Fetch(ctx context.Context, tenant, job string) (a Answer, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "fetch job %s", job)
		}
	}()
	return a, c.call(ctx, http.MethodGet, jobPath(tenant, job), nil, &a)
}

// Cancel asks for a job to be ended.
func (c *Client) Cancel(ctx context.Context, tenant, job string) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "cancel job %s", job)
		}
	}()
	return c.call(ctx, http.MethodDelete, jobPath(tenant, job), nil, nil)
}

func jobPath(tenant, job string) string {
	return "/v1/jobs/" + url.PathEscape(tenant) + "/" + url.PathEscape(job)
}

// StatusError is a response that is not an answer to a job.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the body of the response.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Body
}

// Do sends a request of the operators' interface and decodes the response into out; a *StatusError tells a refusal.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	return c.call(ctx, method, path, in, out)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, body)
	if err != nil {
		return err
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	w, err := c.HTTP.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	data, err := io.ReadAll(io.LimitReader(w.Body, maxBody))
	if err != nil {
		return err
	}
	if a, ok := out.(*Answer); ok && json.Unmarshal(data, a) == nil && a.Status != "" {
		return nil
	}
	if w.StatusCode >= http.StatusBadRequest {
		return &StatusError{Status: w.StatusCode, Body: string(bytes.TrimSpace(data))}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
