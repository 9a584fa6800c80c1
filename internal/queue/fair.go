package queue

// maxUrgentStreak is the maximum number of urgent items taken in a row while normal ones wait.
const maxUrgentStreak = 8

// Fair is a queue of urgent and normal items. Urgent items go first, but while normal ones wait every ninth item is a normal
// one. Within a class, tenants are served round-robin.
type Fair[T any] struct {
	urgent       class[T]
	normal       class[T]
	urgentStreak int
}

type class[T any] struct {
	tenants  map[string]*tenantQueue[T]
	rotation []*tenantQueue[T]
	size     int
}

type tenantQueue[T any] struct {
	tenant string
	items  []T
}

// Push appends an item.
func (q *Fair[T]) Push(urgent bool, tenant string, item T) {
	q.class(urgent).push(tenant, item)
}

// Len returns the number of items of one class.
func (q *Fair[T]) Len(urgent bool) int {
	return q.class(urgent).size
}

// TenantLen returns the number of items of one tenant in both classes.
func (q *Fair[T]) TenantLen(tenant string) int {
	return q.urgent.tenantLen(tenant) + q.normal.tenantLen(tenant)
}

// Peek returns the next item of a class without removing it.
func (q *Fair[T]) Peek(urgent bool) (item T, ok bool) {
	c := q.class(urgent)
	if c.size == 0 {
		return item, false
	}
	return c.rotation[0].items[0], true
}

// Pop removes and returns the next item of a class.
func (q *Fair[T]) Pop(urgent bool) (item T, ok bool) {
	return q.class(urgent).pop()
}

// Rotate moves the first tenant of a class to the end of the round.
func (q *Fair[T]) Rotate(urgent bool) {
	c := q.class(urgent)
	if len(c.rotation) > 1 {
		c.rotation = append(c.rotation[1:], c.rotation[0])
	}
}

// Tenants returns the number of tenants that have items in a class.
func (q *Fair[T]) Tenants(urgent bool) int {
	return len(q.class(urgent).rotation)
}

// Next removes and returns the next item; it returns normal items only if normalAllowed is set.
func (q *Fair[T]) Next(normalAllowed bool) (item T, ok bool) {
	if !normalAllowed {
		return q.urgent.pop()
	}
	if q.normal.size == 0 {
		q.urgentStreak = 0
		return q.urgent.pop()
	}
	if q.urgent.size == 0 || q.urgentStreak >= maxUrgentStreak {
		q.urgentStreak = 0
		return q.normal.pop()
	}
	q.urgentStreak++
	return q.urgent.pop()
}

func (q *Fair[T]) class(urgent bool) *class[T] {
	if urgent {
		return &q.urgent
	}
	return &q.normal
}

func (c *class[T]) push(tenant string, item T) {
	if c.tenants == nil {
		c.tenants = map[string]*tenantQueue[T]{}
	}
	t := c.tenants[tenant]
	if t == nil {
		t = &tenantQueue[T]{tenant: tenant}
		c.tenants[tenant] = t
		c.rotation = append(c.rotation, t)
	}
	t.items = append(t.items, item)
	c.size++
}

func (c *class[T]) tenantLen(tenant string) int {
	if t := c.tenants[tenant]; t != nil {
		return len(t.items)
	}
	return 0
}

func (c *class[T]) pop() (item T, ok bool) {
	if c.size == 0 {
		return item, false
	}
	t := c.rotation[0]
	c.rotation = c.rotation[1:]
	item = t.items[0]
	t.items = t.items[1:]
	c.size--
	if len(t.items) == 0 {
		delete(c.tenants, t.tenant)
		return item, true
	}
	c.rotation = append(c.rotation, t)
	return item, true
}
