package conf

import (
	"cmp"
	"time"

	"gopkg.in/ini.v1"
)

func (r *reader) duration(section, key string, def time.Duration) time.Duration {
	parse := func(k *ini.Key) (time.Duration, error) { return time.ParseDuration(k.String()) }
	return positive(r, section, key, def, parse, "want a positive duration with its unit, such as 5s")
}

func (r *reader) float(section, key string, def float64) float64 {
	return positive(r, section, key, def, (*ini.Key).Float64, "want a positive number")
}

func (r *reader) int(section, key string, def int) int {
	return positive(r, section, key, def, (*ini.Key).Int, "want a positive whole number")
}

// positive reads a value above zero, or returns def if the key is not set. An invalid value is an error with the text want.
func positive[T cmp.Ordered](r *reader, section, key string, def T, parse func(*ini.Key) (T, error), want string) T {
	s := r.file.Section(section)
	if !s.HasKey(key) {
		return def
	}
	var zero T
	v, err := parse(s.Key(key))
	if err != nil || v <= zero {
		r.fail(section, key, want)
		return def
	}
	return v
}
