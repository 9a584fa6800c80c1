package conf

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func loadKeepApart(t *testing.T, setting string) (Dispatcher, error) {
	path := filepath.Join(t.TempDir(), "entry.json")
	doc := `{"name":"e1","availability_zone":"z","caller_addr":"127.0.0.1:1","ready_addr":"127.0.0.1:2","metrics_addr":"127.0.0.1:3",` +
		`"table_addr":"127.0.0.1:4"` + setting + `}`
	qt.Assert(t, os.WriteFile(path, []byte(doc), 0o600), qt.IsNil)
	return LoadDispatcher(path)
}

// Kinds are kept apart only for the services that the settings name, and an odd name is refused.
func TestKeepApartIsOffUnlessSet(t *testing.T) {
	cfg, err := loadKeepApart(t, "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, cfg.KeepApart, qt.HasLen, 0)
	cfg, err = loadKeepApart(t, `,"keep_apart":["orders","*"]`)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, cfg.KeepApart, qt.DeepEquals, []string{"orders", "*"})
	for _, setting := range []string{`,"keep_apart":[""]`, `,"keep_apart":"*"`, `,"keep_apart":[1]`} {
		_, err = loadKeepApart(t, setting)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", setting))
	}
}
