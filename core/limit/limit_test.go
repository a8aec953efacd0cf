package limit_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/limit"
)

func ExampleRead() {
	s := limit.Read([]string{"1.5"})
	fmt.Println(s.Named, s.Rate)
	fmt.Println(limit.Read(nil).Silent())
	// Output:
	// true 1.5
	// true
}

func TestRead(t *testing.T) {
	cases := map[string]struct {
		values []string
		want   limit.Signal
	}{
		"none":             {},
		"whole number":     {values: []string{"2"}, want: limit.Signal{Named: true, Rate: 2}},
		"with spaces":      {values: []string{" 0.5 "}, want: limit.Signal{Named: true, Rate: 0.5}},
		"zero":             {values: []string{"0"}, want: limit.Signal{Named: true}},
		"negative":         {values: []string{"-1"}, want: limit.Signal{Bad: `"-1"`}},
		"not a number":     {values: []string{"NaN"}, want: limit.Signal{Bad: `"NaN"`}},
		"words":            {values: []string{"a few"}, want: limit.Signal{Bad: `"a few"`}},
		"empty":            {values: []string{""}, want: limit.Signal{Bad: `""`}},
		"huge":             {values: []string{"1e300"}, want: limit.Signal{Named: true, Rate: limit.MaxRate}},
		"infinite":         {values: []string{"inf"}, want: limit.Signal{Named: true, Rate: limit.MaxRate}},
		"out of range":     {values: []string{"1e999"}, want: limit.Signal{Named: true, Rate: limit.MaxRate}},
		"two that agree":   {values: []string{"3", "3.0"}, want: limit.Signal{Named: true, Rate: 3}},
		"two that differ":  {values: []string{"3", "2"}, want: limit.Signal{Named: true, Rate: 2, Bad: `"3, 2"`}},
		"one is malformed": {values: []string{"x", "2"}, want: limit.Signal{Named: true, Rate: 2, Bad: `"x, 2"`}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, limit.Read(c.values), c.want)
		})
	}
}

// Without a bound, an answer could fill the log with the text of its header.
func TestReadBoundsQuotedText(t *testing.T) {
	long := make([]byte, 10_000)
	for i := range long {
		long[i] = 'x'
	}
	assert.Assert(t, len(limit.Read([]string{string(long)}).Bad) < 100)
}
