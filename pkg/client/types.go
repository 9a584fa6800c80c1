package client

import (
	"encoding/json"

	"corianderspur.example/corianderspur/pkg/label"
)

// Job is a submission; its id is chosen by the caller and names the same job however often it is submitted.
type Job struct {
	JobID      string    `json:"job_id"`
	Tenant     string    `json:"tenant"`
	Labels     label.Set `json:"labels,omitempty"`
	DeadlineMS int64     `json:"deadline_ms"`
	Tasks      []Task    `json:"tasks"`
}

// Task is one task of a job; its payload is any JSON value and is passed to the backend server as it is.
type Task struct {
	Payload json.RawMessage `json:"payload"`
}

// Answer is the answer to a job: Status is complete, failed or refused, Run is not_run, ran or unknown.
type Answer struct {
	JobID        string            `json:"job_id"`
	Status       string            `json:"status"`
	Run          string            `json:"run"`
	Reason       string            `json:"reason,omitempty"`
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
	Results      []json.RawMessage `json:"results,omitempty"`
	Starts       int               `json:"starts,omitempty"`
}

// Problem is the body of a response to a malformed request.
type Problem struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
	Run   string `json:"run,omitempty"`
}
