package conf

import (
	"encoding/json"
	"strconv"

	"github.com/go-faster/errors"
)

// Factor is a number that may also be given as text, where an empty text keeps the default: a template fills in nothing for a value that a
// deployment doesn't have.
type Factor float64

// UnmarshalJSON reads a number or a text.
func (f *Factor) UnmarshalJSON(data []byte) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "factor")
		}
	}()
	text := string(data)
	if len(data) > 0 && data[0] == '"' {
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
		if text == "" {
			return nil
		}
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return err
	}
	*f = Factor(number)
	return nil
}
