package queue

// urgentRun is the number of urgent items taken in a row while others wait.
const urgentRun = 8

// Fair is a queue that takes urgent items first, every ninth time another, and tenants of a class in turn.
type Fair[T any] struct {
	urgent class[T]
	normal class[T]
	streak int
}

type class[T any] struct {
	tenants map[string]*line[T]
	turn    []*line[T]
	size    int
}

type line[T any] struct {
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
	return c.turn[0].items[0], true
}

// Pop removes and returns the next item of a class.
func (q *Fair[T]) Pop(urgent bool) (item T, ok bool) {
	return q.class(urgent).pop()
}

// Rotate lets the next tenant of a class go first.
func (q *Fair[T]) Rotate(urgent bool) {
	c := q.class(urgent)
	if len(c.turn) > 1 {
		c.turn = append(c.turn[1:], c.turn[0])
	}
}

// Tenants returns the number of tenants that wait in a class.
func (q *Fair[T]) Tenants(urgent bool) int {
	return len(q.class(urgent).turn)
}

// Next removes and returns the next item, leaving out normal ones where they are not allowed.
func (q *Fair[T]) Next(normalAllowed bool) (item T, ok bool) {
	if !normalAllowed {
		return q.urgent.pop()
	}
	if q.normal.size == 0 {
		q.streak = 0
		return q.urgent.pop()
	}
	if q.urgent.size == 0 || q.streak >= urgentRun {
		q.streak = 0
		return q.normal.pop()
	}
	q.streak++
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
		c.tenants = map[string]*line[T]{}
	}
	l := c.tenants[tenant]
	if l == nil {
		l = &line[T]{tenant: tenant}
		c.tenants[tenant] = l
		c.turn = append(c.turn, l)
	}
	l.items = append(l.items, item)
	c.size++
}

func (c *class[T]) tenantLen(tenant string) int {
	if l := c.tenants[tenant]; l != nil {
		return len(l.items)
	}
	return 0
}

func (c *class[T]) pop() (item T, ok bool) {
	if c.size == 0 {
		return item, false
	}
	l := c.turn[0]
	c.turn = c.turn[1:]
	item = l.items[0]
	l.items = l.items[1:]
	c.size--
	if len(l.items) == 0 {
		delete(c.tenants, l.tenant)
		return item, true
	}
	c.turn = append(c.turn, l)
	return item, true
}
