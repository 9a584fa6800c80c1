package route_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/route"
)

func TestLongestPrefixDecides(t *testing.T) {
	table := route.NewTable(1, []route.Queue{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/"},
	}, route.Limits{})
	for path, want := range map[string]string{"/a/1": "short", "/a/b/1": "long", "/a/b": "short"} {
		q, _, ok := table.Find("h", path)
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, q.Name, qt.Equals, want, qt.Commentf(path))
	}
	_, _, ok := table.Find("h", "/c")
	qt.Check(t, ok, qt.IsFalse)
	_, rest, _ := table.Find("h", "/a/b/1")
	qt.Check(t, rest, qt.Equals, "1")
}

// The current table is never replaced by an older one, in whatever order they arrive.
func TestConfigurationNeverGoesBack(t *testing.T) {
	h := &route.Holder{}
	qt.Assert(t, h.Table(), qt.IsNil)
	for _, v := range []uint64{7, 3, 12, 12, 11} {
		before := h.Table()
		changed := h.Offer(route.NewTable(v, nil, route.Limits{}))
		qt.Check(t, changed, qt.Equals, before == nil || v > before.Version)
	}
	qt.Assert(t, h.Table().Version, qt.Equals, uint64(12))
}
