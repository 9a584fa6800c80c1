package label_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/pkg/label"
)

func TestSelectorMatches(t *testing.T) {
	labels := label.Set{"kind": "line_check", "zone": "umea"}
	for text, want := range map[string]bool{
		"":                                 true,
		"kind=line_check":                  true,
		"kind==line_check, zone != mapo":   true,
		"zone in (umea,lycksele),!drained": true,
		"zone notin (umea)":                false,
		"gpu":                              false,
		"gpu notin (yes)":                  true,
		"gpu=yes":                          false,
		"kind":                             true,
	} {
		s, err := label.Parse(text)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", text))
		qt.Check(t, s.Matches(labels), qt.Equals, want, qt.Commentf("%s", text))
	}
}

func TestSelectorErrorsNameThePlace(t *testing.T) {
	for text, want := range map[string]string{
		"kind=":        `selector "kind=" at byte 5: want a label name or value`,
		"kind in umea": `selector "kind in umea" at byte 8: want '\('`,
		"a=b c":        `selector "a=b c" at byte 4: want ',' or the end`,
		"a=b,":         `selector "a=b," at byte 4: want a label name or value`,
	} {
		_, err := label.Parse(text)
		qt.Check(t, err, qt.ErrorMatches, want)
	}
}

func TestSetValidate(t *testing.T) {
	qt.Check(t, label.Set{"kind": "x", "empty": ""}.Validate(), qt.IsNil)
	qt.Check(t, label.Set{"a b": "x"}.Validate(), qt.ErrorMatches, `label name "a b".*`)
	qt.Check(t, label.Set{"a": "x y"}.Validate(), qt.ErrorMatches, `label a: value "x y".*`)
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"", "a=b", "a in (b,c),!d", "a notin(b", "!", "a!=b,c==d", "ä=b"} {
		f.Add(text)
	}
	f.Fuzz(func(_ *testing.T, text string) {
		s, err := label.Parse(text)
		if err == nil {
			s.Matches(label.Set{"a": "b"})
		}
	})
}
