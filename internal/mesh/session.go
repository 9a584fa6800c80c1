package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

type session struct {
	mesh   *Mesh
	conn   *websocket.Conn
	cancel context.CancelFunc
	wake   chan struct{}
	self   shard.ID
	peer   shard.ID
	number uint64

	mu      sync.Mutex
	out     []proto.Message
	due     bool
	writing bool
}

// greet sends this side's hello and reads the other's.
func (s *session) greet(ctx context.Context) (hello *proto.Hello, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.mesh.cfg.DialTimeout.Duration())
	defer cancel()
	s.mesh.mu.Lock()
	s.self = s.mesh.id
	s.mesh.mu.Unlock()
	mine := []proto.Message{{Hello: &proto.Hello{ID: s.self, Role: s.mesh.cfg.Role}}}
	if err := s.writeFrame(ctx, mine); err != nil {
		return nil, err
	}
	messages, err := s.readFrame(ctx)
	if err != nil {
		return nil, err
	}
	if len(messages) != 1 || messages[0].Hello == nil || messages[0].Hello.ID == "" {
		return nil, errors.New("session does not begin with hello")
	}
	return messages[0].Hello, nil
}

func (s *session) readFrame(ctx context.Context) (messages []proto.Message, err error) {
	_, frame, err := s.conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	messages, err = proto.Decode(frame)
	if err == nil && s.mesh.cfg.Counter != nil {
		s.mesh.cfg.Counter.Frame(false, len(frame), messages)
	}
	return messages, err
}

func (s *session) writeFrame(ctx context.Context, messages []proto.Message) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "write frame")
		}
	}()
	frame, err := proto.Encode(messages)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	if s.mesh.cfg.Counter != nil {
		s.mesh.cfg.Counter.Frame(true, len(frame), messages)
	}
	return s.conn.Write(ctx, websocket.MessageBinary, frame)
}

func (s *session) read(ctx context.Context) error {
	for {
		messages, err := s.readFrame(ctx)
		if err != nil {
			return err
		}
		s.mesh.cfg.Inbox.Ready()
		if !s.pass(messages) {
			return nil
		}
	}
}

// pass hands messages on, unless the session was replaced or reset meanwhile.
func (s *session) pass(messages []proto.Message) bool {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	if s.mesh.sessions[s.peer] != s {
		return false
	}
	for _, msg := range messages {
		s.mesh.cfg.Inbox.Push(event.Received{From: s.peer, Message: msg})
	}
	return true
}

func (s *session) queue(msg proto.Message, lazy bool) {
	s.mu.Lock()
	s.out = append(s.out, msg)
	over := len(s.out) > maxQueue
	s.due = s.due || !lazy
	s.mu.Unlock()
	if over {
		s.cancel()
		return
	}
	if !lazy {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (s *session) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if delay := s.mesh.cfg.BatchDelay; delay > 0 {
			time.Sleep(delay.Duration())
		}
		if err := s.drain(ctx); err != nil {
			return
		}
	}
}

func (s *session) drain(ctx context.Context) error {
	s.mu.Lock()
	messages := s.out
	s.out = nil
	s.due = false
	s.writing = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.writing = false
		s.mu.Unlock()
	}()
	if len(messages) == 0 {
		return nil
	}
	return s.writeFrame(ctx, messages)
}

func (s *session) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.due && !s.writing
}
