package proto

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Limits on one frame: its size in bytes, the elements of each array or map in it, and its levels of nesting.
const (
	MaxFrame    = 64 << 20
	maxElements = 1 << 17
	maxNesting  = 16
)

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	opts := cbor.DecOptions{
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		MaxNestedLevels:   maxNesting,
		ExtraReturnErrors: cbor.ExtraDecErrorNone,
	}
	mode, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns a frame with the messages in order.
func Encode(messages []Message) (frame []byte, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "encode frame")
		}
	}()
	return cbor.Marshal(messages)
}

// Decode returns the messages of a frame; unknown fields are ignored.
func Decode(frame []byte) (messages []Message, err error) {
	if len(frame) > MaxFrame {
		return nil, errors.Errorf("frame of %d bytes, at most %d allowed", len(frame), MaxFrame)
	}
	if err := decoder.Unmarshal(frame, &messages); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	return messages, nil
}
