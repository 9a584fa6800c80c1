package mesh

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Path is the HTTP path at which entries accept sessions.
const Path = "/session"

// Bounds on sessions.
const (
	dialTimeout = 2 * clock.Second
	redialFirst = 100 * clock.Millis(1)
	redialMost  = 2 * clock.Second
	writeLimit  = 5 * time.Second
	maxQueue    = 100_000
)

// Inbox takes events for a state machine; Ready blocks while too many wait.
type Inbox interface {
	Push(ev event.Event)
	Ready()
}

// Counter counts what goes over sessions: frames, their bytes, and messages by name.
type Counter interface {
	Frame(sent bool, bytes int, messages []proto.Message)
}

// Config is what a mesh is built from.
type Config struct {
	ID    shard.ID
	Role  proto.Role
	Inbox Inbox
	// Counter may be nil.
	Counter Counter
	// Log takes the ends of sessions that were not asked for; the zero value discards them.
	Log logr.Logger
	// BatchDelay is how long a frame waits for more messages, in milliseconds.
	BatchDelay clock.Millis
	// DialTimeout bounds the opening of a session, RedialFirst and RedialMost the pauses between tries, in milliseconds;
	// zero stands for the defaults.
	DialTimeout clock.Millis
	RedialFirst clock.Millis
	RedialMost  clock.Millis
}

func (c *Config) setDefaults() {
	if c.DialTimeout == 0 {
		c.DialTimeout = dialTimeout
	}
	if c.RedialFirst == 0 {
		c.RedialFirst = redialFirst
	}
	if c.RedialMost == 0 {
		c.RedialMost = redialMost
	}
}

// Mesh holds at most one session with each process.
type Mesh struct {
	cfg      Config
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	id       shard.ID
	sessions map[shard.ID]*session
	dialers  map[shard.ID]*dialer
	// opened counts sessions, and taken holds the session that the state machine knows of, by process.
	opened uint64
	taken  map[shard.ID]uint64
}

// New creates a mesh without sessions.
func New(cfg Config) *Mesh {
	cfg.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Mesh{
		cfg: cfg, ctx: ctx, stop: stop, id: cfg.ID,
		sessions: map[shard.ID]*session{}, dialers: map[shard.ID]*dialer{}, taken: map[shard.ID]uint64{},
	}
}

// ServeHTTP accepts a session.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	m.wg.Add(1)
	defer m.wg.Done()
	m.serve(m.ctx, conn)
}

// Connect keeps sessions to exactly these members open, besides those that others have opened.
func (m *Mesh) Connect(members []shard.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := map[shard.ID]bool{}
	for _, member := range members {
		if m.dials(members, member.ID) {
			wanted[member.ID] = true
			m.dialLocked(member)
		}
	}
	for id, d := range m.dialers {
		if !wanted[id] {
			d.cancel()
			delete(m.dialers, id)
		}
	}
}

// dials reports whether this side opens the session: agents and newcomers always, else the entry with the higher id.
func (m *Mesh) dials(members []shard.Member, id shard.ID) bool {
	if id == m.id {
		return false
	}
	named := false
	for _, member := range members {
		named = named || member.ID == m.id
	}
	return !named || m.id > id
}

// dialer keeps a session with a member open.
type dialer struct {
	cancel context.CancelFunc
	// addr is where the next session is opened; the mesh's lock guards it.
	addr string
}

func (m *Mesh) dialLocked(member shard.Member) {
	if d := m.dialers[member.ID]; d != nil {
		d.addr = member.Addr
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	d := &dialer{cancel: cancel, addr: member.Addr}
	m.dialers[member.ID] = d
	m.wg.Add(1)
	go m.dialLoop(ctx, member.ID, d)
}

func (m *Mesh) dialLoop(ctx context.Context, id shard.ID, d *dialer) {
	defer m.wg.Done()
	pause := m.cfg.RedialFirst
	for ctx.Err() == nil {
		connected, addr := m.connected(id, d)
		if connected {
			pause = m.cfg.RedialFirst
		} else if err := m.dial(ctx, addr); err == nil {
			pause = m.cfg.RedialFirst
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause.Duration()):
		}
		pause = min(pause*2, m.cfg.RedialMost)
	}
}

// connected reports whether there is a session with a process, and where to open one.
func (m *Mesh) connected(id shard.ID, d *dialer) (connected bool, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[id] != nil, d.addr
}

// dial opens a session and serves it to its end.
func (m *Mesh) dial(ctx context.Context, addr string) error {
	dialCtx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout.Duration())
	defer cancel()
	//nolint:bodyclose // the library closes the body of the response itself
	conn, _, err := websocket.Dial(dialCtx, "ws://"+addr+Path, &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	m.serve(ctx, conn)
	return nil
}

// serve exchanges hellos and then carries messages until the session ends.
func (m *Mesh) serve(ctx context.Context, conn *websocket.Conn) {
	conn.SetReadLimit(proto.MaxFrame)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{mesh: m, conn: conn, cancel: cancel, wake: make(chan struct{}, 1)}
	defer conn.CloseNow()
	defer m.recovered(s)
	hello, err := s.greet(ctx)
	if err != nil {
		return
	}
	if !m.add(s, hello) {
		return
	}
	defer m.remove(s)
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		defer cancel()
		s.write(ctx)
	}()
	if err := s.read(ctx); err != nil && ctx.Err() == nil {
		m.cfg.Log.Info("session_ended", "peer", string(s.peer), "reason", err.Error())
	}
}

// recovered ends only the session whose bytes led to a fault of the program.
func (m *Mesh) recovered(s *session) {
	if fault := recover(); fault != nil {
		m.cfg.Log.Info("fault", "peer", string(s.peer), "reason", fmt.Sprint(fault), "stack", string(debug.Stack()))
	}
}

func (m *Mesh) add(s *session, hello *proto.Hello) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.self != m.id || m.ctx.Err() != nil {
		return false
	}
	s.peer = hello.ID
	if old := m.sessions[s.peer]; old != nil {
		old.cancel()
		m.cfg.Inbox.Push(event.SessionDown{Peer: s.peer})
	}
	m.opened++
	s.number = m.opened
	m.sessions[s.peer] = s
	m.cfg.Inbox.Push(event.SessionUp{Peer: s.peer, Role: hello.Role, Session: s.number})
	return true
}

func (m *Mesh) remove(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[s.peer] != s {
		return
	}
	delete(m.sessions, s.peer)
	m.cfg.Inbox.Push(event.SessionDown{Peer: s.peer})
}

// Take notes that the state machine is about to handle an event.
func (m *Mesh) Take(ev event.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch ev := ev.(type) {
	case event.SessionUp:
		m.taken[ev.Peer] = ev.Session
	case event.SessionDown:
		delete(m.taken, ev.Peer)
	}
}

// Send queues a message for the session with a process; it is lost without one, and if the state machine has not yet
// handled the end of the session before: what it believes to have sent with the old one must not travel with the new.
func (m *Mesh) Send(to shard.ID, msg proto.Message, lazy bool) {
	m.mu.Lock()
	s := m.sessions[to]
	if s != nil && s.number != m.taken[to] {
		s = nil
	}
	m.mu.Unlock()
	if s != nil {
		s.queue(msg, lazy)
	}
}

// Drop closes the session with a process, if there is one.
func (m *Mesh) Drop(peer shard.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[peer]
	if s == nil {
		return
	}
	s.cancel()
	delete(m.sessions, peer)
	m.cfg.Inbox.Push(event.SessionDown{Peer: peer})
}

// Reset closes every session and goes on under an identity.
func (m *Mesh) Reset(id shard.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.id = id
	for peer, s := range m.sessions {
		s.cancel()
		delete(m.sessions, peer)
		m.cfg.Inbox.Push(event.SessionDown{Peer: peer})
	}
}

// Flush waits until what was queued has been written, at most for a limit.
func (m *Mesh) Flush(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && !m.idle() {
		time.Sleep(time.Millisecond)
	}
}

func (m *Mesh) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.sessions {
		if !s.idle() {
			return false
		}
	}
	return true
}

// Close ends every session and waits for its goroutines.
func (m *Mesh) Close() {
	m.stop()
	m.wg.Wait()
}
