package entry

import (
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/table"
)

// Keys of the configuration's rows.
const (
	ConfigKey    = "config"
	ChangePrefix = "change/"
	applyTries   = 5
	// documentGrace is the time that other entries have to learn of a change elsewhere, in milliseconds.
	documentGrace = clock.Second
)

// ErrTableDown tells an operator that it is not known whether a change was made.
var ErrTableDown = errors.New("table service does not answer: read the configuration back before trying again with the same change id")

type change struct {
	apply Apply
	call  uint64
	next  *policy.Document
	tries int
}

// ConfigController holds the operators' configuration and never goes back to a lower version.
type ConfigController struct {
	*common
	policy *policy.Policy
	since  clock.Millis
	// made says that the change to the present version was made here, making is the version being written here.
	made    bool
	making  uint64
	changes []*change
	// onPolicy is called after each adoption.
	onPolicy func()
}

// NewConfigController creates a controller with an empty configuration of version 0.
func NewConfigController(c *common) *ConfigController {
	empty, err := policy.Compile(&policy.Document{})
	if err != nil {
		panic(err)
	}
	return &ConfigController{common: c, policy: empty, since: c.now}
}

// Version returns the version in force.
func (c *ConfigController) Version() uint64 {
	return c.policy.Document.Version
}

// Complete adds the configuration's version to a heartbeat, and the document if the receiver's is older: at once if the
// change was made here, else only if the receiver did not learn of it elsewhere meanwhile.
func (c *ConfigController) Complete(p *peer, b *proto.Beat) {
	b.ConfigVersion = c.Version()
	if p.configVersion < b.ConfigVersion && (c.made || c.now-c.since >= documentGrace) {
		b.Config = c.policy.Document
	}
}

// Row adopts the configuration that was read from the table.
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

// Adopt puts a document in force if its version is higher than that of the present one.
func (c *ConfigController) Adopt(d *policy.Document) {
	if d == nil || d.Version <= c.Version() {
		return
	}
	p, err := policy.Compile(d)
	if err != nil {
		c.emit(event.Note{Name: "configuration_refused", Reason: err.Error(), Version: d.Version})
		return
	}
	c.policy = p
	c.since = c.now
	c.made = d.Version == c.making
	c.emit(event.Note{Name: "configuration_adopted", Version: d.Version})
	c.onPolicy()
}

// Apply validates a change and starts to write it.
func (c *ConfigController) Apply(a Apply) {
	if err := a.Document.Validate(); err != nil {
		c.emit(Applied{Ref: a.Ref, Err: err})
		return
	}
	ch := &change{apply: a}
	c.changes = append(c.changes, ch)
	c.read(ch)
}

// read looks for the change by its id and for the version that it would replace.
func (c *ConfigController) read(ch *change) {
	ch.next = nil
	ch.call = c.nextCall()
	c.emit(event.TableCall{Call: ch.call, Txn: table.Txn{Keys: []string{ConfigKey, ch.key()}}})
}

func (ch *change) key() string {
	return ChangePrefix + ch.apply.Document.ChangeID
}

// TableDone takes the outcome of a step of a change and reports whether it belonged to one.
func (c *ConfigController) TableDone(e event.TableDone) bool {
	for i, ch := range c.changes {
		if ch.call != e.Call {
			continue
		}
		if c.step(ch, e) {
			c.changes = append(c.changes[:i], c.changes[i+1:]...)
		}
		return true
	}
	return false
}

// step goes on with a change after a reply and reports whether it is over.
func (c *ConfigController) step(ch *change, e event.TableDone) bool {
	if e.Err != nil || (ch.next != nil && !e.Reply.Applied) {
		return c.retry(ch)
	}
	if ch.next != nil {
		c.Adopt(ch.next)
		c.emit(Applied{Ref: ch.apply.Ref, Version: ch.next.Version})
		return true
	}
	if done := e.Reply.Row(ch.key()); done.Version > 0 {
		return c.alreadyMade(ch, done)
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
	if ch.tries >= applyTries {
		c.emit(Applied{Ref: ch.apply.Ref, Err: ErrTableDown})
		return true
	}
	c.read(ch)
	return false
}

func (c *ConfigController) alreadyMade(ch *change, row table.Row) bool {
	made := &policy.Document{}
	if err := json.Unmarshal(row.Value, made); err != nil {
		c.emit(Applied{Ref: ch.apply.Ref, Err: errors.Wrap(err, "read change")})
		return true
	}
	c.Adopt(made)
	c.emit(Applied{Ref: ch.apply.Ref, Version: made.Version})
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
	c.making = next.Version
	ch.call = c.nextCall()
	c.emit(event.TableCall{Call: ch.call, Txn: table.Txn{Writes: []table.Write{
		{Key: ConfigKey, IfVersion: ch.apply.Base, Value: value},
		{Key: ch.key(), IfVersion: 0, Value: value},
	}}})
	return false
}
