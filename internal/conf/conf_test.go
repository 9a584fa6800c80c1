package conf_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/conf"
)

const entrySettings = `{"name":"entry-0","availability_zone":"umea","session_addr":"127.0.0.1:1","caller_addr":"127.0.0.1:2",
"admin_addr":"127.0.0.1:3","table_addr":"127.0.0.1:4","tokens":[{"token":"0123456789abcdef","who":"anna"}]}`

func TestDefaultsFillWhatIsLeftOut(t *testing.T) {
	cfg := conf.DefaultEntry()
	qt.Assert(t, conf.Parse([]byte(entrySettings), &cfg), qt.IsNil)
	qt.Assert(t, cfg.Shards, qt.Equals, 64)
}

func TestEveryFaultIsListedWithItsPath(t *testing.T) {
	text := strings.NewReplacer("127.0.0.1:4", "table.example:4", "0123456789abcdef", "short", `"entry-0"`, `""`).Replace(entrySettings)
	cfg := conf.DefaultEntry()
	err := conf.Parse([]byte(text), &cfg)
	qt.Check(t, err, qt.ErrorMatches, ".*name: missing.*")
	qt.Check(t, err, qt.ErrorMatches, ".*table_addr: want an IP address and port such as 127.0.0.1:7000, not a host name.*")
	qt.Check(t, err, qt.ErrorMatches, `.*tokens\[0\].token: want at least 16.*`)
}

func TestUnknownKeysAreRefused(t *testing.T) {
	cfg := conf.DefaultAgent()
	qt.Assert(t, conf.Parse([]byte(`{"colour":"red"}`), &cfg), qt.ErrorMatches, `.*unknown field "colour"`)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(entrySettings))
	f.Add([]byte(`{"labels":{"a b":"c"}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		cfg := conf.DefaultEntry()
		_ = conf.Parse(data, &cfg)
	})
}
