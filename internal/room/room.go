package room

// Resources is an amount of resources: CPU, memory and GPUs.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"cpu" json:"cpu"`
	// MemMB is in megabytes.
	MemMB int64 `cbor:"mem_mb,omitempty" json:"mem_mb"`
	// GPU is the number of GPUs.
	GPU int64 `cbor:"gpu,omitempty" json:"gpu,omitempty"`
}

// Plus returns the sum of two amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Minus returns the difference of two amounts; it may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Times returns the amount multiplied by a factor.
func (r Resources) Times(f float64) Resources {
	return Resources{CPU: int64(float64(r.CPU) * f), MemMB: int64(float64(r.MemMB) * f), GPU: int64(float64(r.GPU) * f)}
}

// AtMost returns the minimum of two amounts, resource by resource.
func (r Resources) AtMost(o Resources) Resources {
	return Resources{CPU: min(r.CPU, o.CPU), MemMB: min(r.MemMB, o.MemMB), GPU: min(r.GPU, o.GPU)}
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemMB <= r.MemMB && need.GPU <= r.GPU
}

// ShareOf returns r as a share of total, from 0 to 1, for the resource whose share is the smallest.
func (r Resources) ShareOf(total Resources) float64 {
	share := 1.0
	for _, amounts := range [][2]int64{{r.CPU, total.CPU}, {r.MemMB, total.MemMB}, {r.GPU, total.GPU}} {
		if amounts[1] > 0 {
			share = min(share, float64(amounts[0])/float64(amounts[1]))
		}
	}
	return max(share, 0)
}
