package node

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"time"
)

const incarnationBytes = 8

// tokenBits is the number of random bits of a fencing token: two incarnations don't get the same one even if the time of day was
// set back.
const tokenBits = 10

// newToken returns the fencing token of an incarnation that starts now, the Unix time in 1/1024 ms.
func newToken(seed uint64) uint64 {
	return uint64(time.Now().UnixMilli())<<tokenBits | seed&(1<<tokenBits-1)
}

// NewIncarnation draws an identity that no earlier process had, and a seed.
func NewIncarnation() (id string, seed uint64) {
	var b [incarnationBytes * 2]byte
	// Read never fails: the library ends the program if the system has no randomness.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:incarnationBytes]), binary.BigEndian.Uint64(b[incarnationBytes:])
}
