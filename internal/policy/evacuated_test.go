package policy

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

func TestEvacuatedZonesAreChecked(t *testing.T) {
	qt.Check(t, (&Document{Evacuated: []string{"a", "b"}}).Validate(), qt.IsNil)
	var invalid *InvalidError
	qt.Assert(t, errors.As((&Document{Evacuated: []string{"a", "", "a"}}).Validate(), &invalid), qt.IsTrue)
	qt.Check(t, invalid.Fields, qt.DeepEquals, []FieldError{
		{Path: "evacuated_zones[1]", Reason: "want 1 to 200 bytes"}, {Path: "evacuated_zones[2]", Reason: "zone used twice"},
	})
	qt.Check(t, (&Document{Evacuated: make([]string, MaxZones+1)}).Validate(), qt.IsNotNil)
}
