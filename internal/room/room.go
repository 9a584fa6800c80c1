package room

// Room is an amount of resources: CPU, memory and GPUs.
type Room struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"cpu" json:"cpu"`
	// MemMB is in megabytes.
	MemMB int64 `cbor:"mem_mb,omitempty" json:"mem_mb"`
	// GPU is the number of GPUs.
	GPU int64 `cbor:"gpu,omitempty" json:"gpu,omitempty"`
}

// Plus returns the sum of two amounts.
func (r Room) Plus(o Room) Room {
	return Room{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Minus returns the difference of two amounts; it may be negative.
func (r Room) Minus(o Room) Room {
	return Room{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Times returns the amount multiplied by a factor.
func (r Room) Times(f float64) Room {
	return Room{CPU: int64(float64(r.CPU) * f), MemMB: int64(float64(r.MemMB) * f), GPU: int64(float64(r.GPU) * f)}
}

// AtMost returns the minimum of two amounts, resource by resource.
func (r Room) AtMost(o Room) Room {
	return Room{CPU: min(r.CPU, o.CPU), MemMB: min(r.MemMB, o.MemMB), GPU: min(r.GPU, o.GPU)}
}

// Fits reports whether need fits into r.
func (r Room) Fits(need Room) bool {
	return need.CPU <= r.CPU && need.MemMB <= r.MemMB && need.GPU <= r.GPU
}

// ShareOf returns r as a share of total, from 0 to 1, for the resource whose share is the smallest.
func (r Room) ShareOf(total Room) float64 {
	share := 1.0
	for _, amounts := range [][2]int64{{r.CPU, total.CPU}, {r.MemMB, total.MemMB}, {r.GPU, total.GPU}} {
		if amounts[1] > 0 {
			share = min(share, float64(amounts[0])/float64(amounts[1]))
		}
	}
	return max(share, 0)
}
