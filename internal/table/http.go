package table

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// TransactPath is the path of the table service's only operation: POST with a Txn, answered by a Reply, both in JSON.
const TransactPath = "/v1/transact"

// maxReply bounds the replies read, in bytes.
const maxReply = 64 << 20

// HTTPStore speaks to the table service over HTTP.
type HTTPStore struct {
	url    string
	client *http.Client
}

var _ Store = (*HTTPStore)(nil)

// NewHTTPStore creates a client of the table service at an IP address and port.
func NewHTTPStore(addr string, client *http.Client) *HTTPStore {
	return &HTTPStore{url: "http://" + addr + TransactPath, client: client}
}

// Transact runs one transaction.
func (s *HTTPStore) Transact(ctx context.Context, t Txn) (reply Reply, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "table transaction")
		}
	}()
	body, err := json.Marshal(t)
	if err != nil {
		return reply, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	w, err := s.client.Do(r)
	if err != nil {
		return reply, err
	}
	defer w.Body.Close()
	data, err := io.ReadAll(io.LimitReader(w.Body, maxReply))
	if err != nil {
		return reply, err
	}
	if w.StatusCode != http.StatusOK {
		return reply, errors.Errorf("status %d", w.StatusCode)
	}
	return reply, json.Unmarshal(data, &reply)
}
