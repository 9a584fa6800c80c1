package conf_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/conf"
)

// A deployment that has no factor for cold servers fills in nothing, and its entries did not start.
func TestSettingsWithoutAFactorKeepTheDefault(t *testing.T) {
	for text, want := range map[string]conf.Factor{`""`: 1, `"1.5"`: 1.5, `2`: 2} {
		cfg, err := loadWithFactor(t, text)
		qt.Assert(t, err, qt.IsNil, qt.Commentf(text))
		qt.Check(t, cfg.ColdFactor, qt.Equals, want, qt.Commentf(text))
	}
	for _, text := range []string{`"x"`, `0.5`, `[]`, `"NaN"`} {
		_, err := loadWithFactor(t, text)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf(text))
	}
}

func loadWithFactor(t *testing.T, factor string) (conf.Dispatcher, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry.json")
	text := `{"name":"e1","availability_zone":"z1","caller_addr":"10.0.0.1:1","ready_addr":"10.0.0.1:2","metrics_addr":"10.0.0.1:3",` +
		`"table_addr":"10.0.0.2:1","cold_factor":` + factor + `}`
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return conf.LoadDispatcher(path)
}
