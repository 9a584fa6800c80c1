package study

import "corianderspur.example/corianderspur/internal/clock"

const serverCPU = 32_000

// kinds returns three kinds of request that earn the same in sum: wide and quick ones of the first priority, narrow ones, and
// long ones.
func kinds() []Kind {
	return []Kind{
		{Name: "wide-quick", Rate: 34, Width: 8, Work: 60, Need: 3100, Worth: 2.94},
		{Name: "long", Priority: 2, Rate: 6, Width: 4, Work: 900, Need: 3100, Worth: 16.7},
		{Name: "narrow", Priority: 1, Rate: 100, Width: 2, Work: 200, Need: 3100, Worth: 1},
	}
}

func servers(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i].CPU = serverCPU
	}
	return list
}

func coarseServers(n int) []Server {
	list := servers(n)
	for i := range list {
		list[i].CPU = 2 * serverCPU
	}
	return list
}

func with(list []Server, count int, s Span) []Server {
	for i := range count {
		list[i].Spans = append(list[i].Spans, s)
	}
	return list
}

// unevenKinds returns kinds of request of which the first is in time on a server of half the speed and the last isn't.
func unevenKinds() []Kind {
	return []Kind{
		{Name: "wide-quick", Rate: 30, Width: 8, Work: 51, Need: 3600, Worth: 2.9},
		{Name: "long", Priority: 2, Rate: 5.4, Width: 4, Work: 760, Need: 3600, Worth: 16},
		{Name: "narrow", Priority: 1, Rate: 87, Width: 2, Work: 170, Need: 3600, Worth: 1},
	}
}

// unevenServers returns servers of which a quarter always runs at half of the speed of the others.
func unevenServers(n int) []Server {
	list := servers(n)
	for i := range list {
		speed := 1.2
		if i%4 == 0 {
			speed = 0.55
		}
		list[i].Spans = []Span{{0, 2 * Length, speed}}
	}
	return list
}

// coarseKinds returns kinds of request whose tasks fill a server by nine, so that what is left free is in fragments.
func coarseKinds() []Kind {
	return []Kind{
		{Name: "wide-quick", Rate: 30, Width: 8, Work: 60, Need: 7000, Worth: 2.9},
		{Name: "long", Priority: 2, Rate: 5.5, Width: 4, Work: 900, Need: 7000, Worth: 16},
		{Name: "narrow", Priority: 1, Rate: 88, Width: 2, Work: 200, Need: 7000, Worth: 1},
	}
}

// Patterns returns the load patterns: those that deployments have shown, and some that none has shown yet.
func Patterns() []Pattern {
	const calm, trouble = 2 * clock.Second, 9 * clock.Second
	urgentLong := kinds()
	urgentLong[1].Priority, urgentLong[0].Priority = 0, 2
	newKind := kinds()
	newKind[0].From = trouble / 2
	fast := kinds()
	for i := range fast {
		fast[i].Work /= 4
		fast[i].Rate *= 4
	}
	large := kinds()
	for i := range large {
		large[i].Rate *= 4
	}
	return []Pattern{
		{Name: "calm", Kinds: kinds(), Entries: 3, Servers: servers(11)},
		{Name: "burst", Kinds: kinds(), Entries: 3, Servers: servers(8), Surges: []Surge{{calm, trouble, 1.3, ""}}},
		{Name: "one-slow", Kinds: kinds(), Entries: 3, Servers: with(servers(8), 1, Span{calm, trouble, 0.125})},
		{Name: "lost", Kinds: kinds(), Entries: 3, Servers: with(servers(11), 4, Span{calm, trouble, 0})},
		{Name: "lost-and-slow", Kinds: kinds(), Entries: 6, Servers: with(with(servers(11), 3, Span{0, 2 * Length, 0}), 4, Span{calm, trouble, 0.125}),
			Surges: []Surge{{calm, trouble, 1.1, ""}}},
		{Name: "all-down", Kinds: kinds(), Entries: 3, Servers: with(servers(11), 11, Span{calm, calm + 700, 0})},
		{Name: "many-entries", Kinds: kinds(), Entries: 9, Servers: servers(8), Surges: []Surge{{calm, trouble, 1.15, ""}}},
		{Name: "urgent-long", Kinds: urgentLong, Entries: 3, Servers: servers(7)},
		{Name: "new-kind", Kinds: newKind, Entries: 3, Servers: servers(8)},
		{Name: "larger", Kinds: large, Entries: 9, Servers: with(servers(44), 12, Span{calm, trouble, 0})},
		{Name: "fast-servers", Kinds: fast, Entries: 3, Servers: servers(9)},
		{Name: "quarter-slow", Kinds: unevenKinds(), Entries: 4, Servers: unevenServers(12), Surges: []Surge{{calm, trouble, 1.6, ""}}, Tail: 0.03},
		{Name: "longest-burst", Kinds: coarseKinds(), Entries: 4, Servers: with(coarseServers(12), 2, Span{calm + 1000, trouble, 0}),
			Surges: []Surge{{calm, trouble, 2.5, "long"}}},
		{Name: "estimates-off", Kinds: kinds(), Entries: 3, Servers: servers(8), Bias: 3},
	}
}
