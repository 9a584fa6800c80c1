package table

import "context"

// Row is one row of the table; its version is zero when the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Write replaces a row if its version is still IfVersion, or whatever its version if Any is set; a nil value deletes the row.
type Write struct {
	Key       string `json:"key"`
	IfVersion uint64 `json:"if_version"`
	Any       bool   `json:"any,omitempty"`
	Value     []byte `json:"value"`
}

// Txn is one serializable transaction: it applies all writes or none, then reads the rows with the given keys and key prefixes.
type Txn struct {
	Writes   []Write  `json:"writes,omitempty"`
	Keys     []string `json:"keys,omitempty"`
	Prefixes []string `json:"prefixes,omitempty"`
}

// Reply reports whether the writes were applied and holds the rows read, in ascending order of their keys.
type Reply struct {
	Applied bool  `json:"applied"`
	Rows    []Row `json:"rows"`
}

// Row returns the row with a key, with version zero if it was not found.
func (r *Reply) Row(key string) Row {
	for _, row := range r.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// Store is the platform's table service; after an error it is unknown whether the writes were applied.
type Store interface {
	Transact(ctx context.Context, t Txn) (Reply, error)
}
