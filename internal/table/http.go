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

// maxReplyBytes is the maximum size of a reply that is read.
const maxReplyBytes = 64 << 20

// HTTPStore is a client of the table service over HTTP.
type HTTPStore struct {
	url    string
	client *http.Client
}

var _ Store = (*HTTPStore)(nil)

// NewHTTPStore creates a client of the table service at addr, an IP address and port.
func NewHTTPStore(addr string, client *http.Client) *HTTPStore {
	return &HTTPStore{url: "http://" + addr + TransactPath, client: client}
}

// Transact runs one transaction. After an error it is unknown whether the writes were applied.
func (s *HTTPStore) Transact(ctx context.Context, txn Txn) (reply Reply, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "table transaction")
		}
	}()
	body, err := json.Marshal(txn)
	if err != nil {
		return reply, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return reply, err
	}
	if resp.StatusCode != http.StatusOK {
		return reply, errors.Errorf("status %d", resp.StatusCode)
	}
	return reply, json.Unmarshal(data, &reply)
}
