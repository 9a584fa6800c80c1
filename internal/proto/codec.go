package proto

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Bounds on what one frame may hold, in bytes, messages and levels of nesting.
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

// Encode returns the frame that carries messages in order.
func Encode(messages []Message) (frame []byte, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "encode frame")
		}
	}()
	return cbor.Marshal(messages)
}

// Decode returns the messages of a frame; fields that it does not know are left out.
func Decode(frame []byte) (messages []Message, err error) {
	if len(frame) > MaxFrame {
		return nil, errors.Errorf("frame of %d bytes, at most %d allowed", len(frame), MaxFrame)
	}
	if err := decoder.Unmarshal(frame, &messages); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	return messages, nil
}
