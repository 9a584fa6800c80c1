package room

// Room is an amount of processors, memory and accelerators.
type Room struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"cpu" json:"cpu"`
	// MemMB is in megabytes.
	MemMB int64 `cbor:"mem_mb,omitempty" json:"mem_mb"`
	// GPU is a number of accelerators.
	GPU int64 `cbor:"gpu,omitempty" json:"gpu,omitempty"`
}

// Plus returns the sum of two rooms.
func (r Room) Plus(o Room) Room {
	return Room{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Minus returns what is left of a room; amounts may become negative.
func (r Room) Minus(o Room) Room {
	return Room{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Times returns the room multiplied by a factor.
func (r Room) Times(f float64) Room {
	return Room{CPU: int64(float64(r.CPU) * f), MemMB: int64(float64(r.MemMB) * f), GPU: int64(float64(r.GPU) * f)}
}

// AtMost returns the room with no amount above that of another room.
func (r Room) AtMost(o Room) Room {
	return Room{CPU: min(r.CPU, o.CPU), MemMB: min(r.MemMB, o.MemMB), GPU: min(r.GPU, o.GPU)}
}

// Fits reports whether the need fits into the room.
func (r Room) Fits(need Room) bool {
	return need.CPU <= r.CPU && need.MemMB <= r.MemMB && need.GPU <= r.GPU
}

// ShareOf returns which part of the total the room is, by the amount of which the least is left, from 0 to 1.
func (r Room) ShareOf(total Room) float64 {
	share := 1.0
	for _, d := range [][2]int64{{r.CPU, total.CPU}, {r.MemMB, total.MemMB}, {r.GPU, total.GPU}} {
		if d[1] > 0 {
			share = min(share, float64(d[0])/float64(d[1]))
		}
	}
	return max(share, 0)
}
