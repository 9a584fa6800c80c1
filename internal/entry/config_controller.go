package entry

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/table"
)

// Keys of the configuration's rows and limits on a change.
const (
	ConfigKey     = "config"
	ChangePrefix  = "change/"
	maxApplyTries = 5
	// relayDelay is the time before a change made at another entry is passed on, so that most entries have learned of it
	// by then, in milliseconds.
	relayDelay = clock.Second
)

// ErrTableDown means that it is unknown whether a change was made. It is also returned if every read failed, so that this
// entry sent no write.
var ErrTableDown = errors.New("table service does not answer: read the configuration back before trying again with the same change id")

type change struct {
	apply Apply
	call  uint64
	next  *policy.Document
	tries int
}

// ConfigController holds the operators' configuration; its version never decreases.
type ConfigController struct {
	*common
	policy    *policy.Policy
	adoptedAt clock.Millis
	// changedHere is set when this entry wrote the current version; writingVersion is the version it writes or wrote last.
	changedHere    bool
	writingVersion uint64
	changes        []*change
	// onPolicy is called after each adoption of a configuration.
	onPolicy func()
}

// NewConfigController creates a controller with an empty configuration of version 0.
func NewConfigController(c *common) *ConfigController {
	empty, err := policy.Compile(&policy.Document{})
	if err != nil {
		panic(err)
	}
	return &ConfigController{common: c, policy: empty, adoptedAt: c.now}
}

// Version returns the version in force.
func (c *ConfigController) Version() uint64 {
	return c.policy.Document.Version
}

// Complete adds the configuration's version to a heartbeat, and the document if the receiver's version is older. A change
// made at another entry is included only after relayDelay, as the receiver usually learns of it elsewhere by then.
func (c *ConfigController) Complete(p *peer, b *proto.Beat) {
	b.ConfigVersion = c.Version()
	if p.configVersion < b.ConfigVersion && (c.changedHere || c.now-c.adoptedAt >= relayDelay) {
		b.Config = c.policy.Document
	}
}

// Row adopts a configuration read from the table if it is newer.
func (c *ConfigController) Row(row table.Row) {
	if row.Version <= c.Version() {
		return
	}
	d := &policy.Document{}
	if err := json.Unmarshal(row.Value, d); err != nil {
		c.emit(event.Note{Name: "configuration_unreadable", Reason: err.Error(), Version: row.Version})
		return
	}
	d.Version = row.Version
	c.Adopt(d)
}

// Adopt puts a document into force if its version is higher than the current one.
func (c *ConfigController) Adopt(d *policy.Document) {
	if d == nil || d.Version <= c.Version() {
		return
	}
	p, err := policy.Compile(d)
	if err != nil {
		c.emit(event.Note{Name: "configuration_refused", Reason: err.Error(), Version: d.Version})
		return
	}
	before := c.policy.Document.Evacuated
	c.policy = p
	c.adoptedAt = c.now
	c.changedHere = d.Version == c.writingVersion
	c.emit(event.Note{Name: "configuration_adopted", Version: d.Version})
	if !slices.Equal(before, d.Evacuated) {
		c.emit(event.Note{Name: "zones_evacuated", Version: d.Version, Reason: strings.Join(d.Evacuated, ","), Class: d.Who})
	}
	c.onPolicy()
}

// Apply validates a change and starts writing it.
func (c *ConfigController) Apply(a Apply) {
	if err := a.Document.Validate(); err != nil {
		c.emit(Applied{Ref: a.Ref, Err: err})
		return
	}
	ch := &change{apply: a}
	c.changes = append(c.changes, ch)
	c.read(ch)
}

// read reads the row of the change, in case it was already made, and the current configuration.
func (c *ConfigController) read(ch *change) {
	ch.next = nil
	ch.call = c.nextCall()
	c.emit(event.TableCall{Call: ch.call, Txn: table.Txn{Keys: []string{ConfigKey, ch.key()}}})
}

func (ch *change) key() string {
	return ChangePrefix + ch.apply.Document.ChangeID
}

// TableDone handles the outcome of a table call and reports whether it belonged to a change.
func (c *ConfigController) TableDone(e event.TableDone) bool {
	for i, ch := range c.changes {
		if ch.call != e.Call {
			continue
		}
		if c.advance(ch, e) {
			c.changes = append(c.changes[:i], c.changes[i+1:]...)
		}
		return true
	}
	return false
}

// advance continues a change after a table call and reports whether the change is finished.
func (c *ConfigController) advance(ch *change, e event.TableDone) bool {
	if e.Err != nil || (ch.next != nil && !e.Reply.Applied) {
		return c.retry(ch)
	}
	if ch.next != nil {
		c.Adopt(ch.next)
		c.emit(Applied{Ref: ch.apply.Ref, Version: ch.next.Version})
		return true
	}
	if record := e.Reply.Row(ch.key()); record.Version > 0 {
		return c.answerApplied(ch, record)
	}
	row := e.Reply.Row(ConfigKey)
	c.Row(row)
	if row.Version != ch.apply.Base {
		c.emit(Applied{Ref: ch.apply.Ref, Version: row.Version, Conflict: c.policy.Document})
		return true
	}
	return c.write(ch)
}

func (c *ConfigController) retry(ch *change) bool {
	ch.tries++
	if ch.tries >= maxApplyTries {
		c.emit(Applied{Ref: ch.apply.Ref, Err: ErrTableDown})
		return true
	}
	c.read(ch)
	return false
}

func (c *ConfigController) answerApplied(ch *change, row table.Row) bool {
	applied := &policy.Document{}
	if err := json.Unmarshal(row.Value, applied); err != nil {
		c.emit(Applied{Ref: ch.apply.Ref, Err: errors.Wrap(err, "read change")})
		return true
	}
	c.Adopt(applied)
	c.emit(Applied{Ref: ch.apply.Ref, Version: applied.Version})
	return true
}

func (c *ConfigController) write(ch *change) bool {
	next := *ch.apply.Document
	next.Version = ch.apply.Base + 1
	value, err := json.Marshal(&next)
	if err != nil {
		c.emit(Applied{Ref: ch.apply.Ref, Err: fmt.Errorf("encode configuration: %w", err)})
		return true
	}
	ch.next = &next
	c.writingVersion = next.Version
	ch.call = c.nextCall()
	c.emit(event.TableCall{Call: ch.call, Txn: table.Txn{Writes: []table.Write{
		{Key: ConfigKey, IfVersion: ch.apply.Base, Value: value},
		{Key: ch.key(), IfVersion: 0, Value: value},
	}}})
	return false
}
