package proto_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

func sample() []proto.Message {
	key := shard.NewKey("shops", "order-1")
	return []proto.Message{
		{Start: &proto.Start{Shard: 3, Epoch: 7, Key: key, Job: "order-1", Items: []proto.Item{{Index: 1, Attempt: 2, Payload: []byte("{}")}}}},
		{Result: &proto.Result{Key: key, Outcomes: []proto.Outcome{{Index: 1, State: proto.StateDone, Output: []byte("x")}}}},
		{Ping: &proto.Ping{Sent: 12, Load: proto.Load{Slots: 8}}},
	}
}

func TestFrameKeepsMessages(t *testing.T) {
	frame, err := proto.Encode(sample())
	qt.Assert(t, err, qt.IsNil)
	got, err := proto.Decode(frame)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, sample())
}

func FuzzDecode(f *testing.F) {
	frame, err := proto.Encode(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add([]byte{0x80})
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, frame []byte) {
		messages, err := proto.Decode(frame)
		if err != nil {
			return
		}
		if _, err := proto.Encode(messages); err != nil {
			t.Fatal(err)
		}
	})
}
