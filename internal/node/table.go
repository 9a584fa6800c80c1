package node

import (
	"context"
	"net/http"
	"time"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/table"
)

// tableTimeout bounds one transaction.
const tableTimeout = 2 * time.Second

// tableCaller runs transactions off the control thread.
type tableCaller struct {
	ctx   context.Context
	store table.Store
	loop  *Loop
}

func newTableClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}}
}

func (c *tableCaller) call(a event.TableCall) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, tableTimeout)
		defer cancel()
		reply, err := c.store.Transact(ctx, a.Txn)
		c.loop.Push(event.TableDone{Call: a.Call, Reply: reply, Err: err})
	}()
}
