package conf

import (
	"cmp"
	"time"

	"gopkg.in/ini.v1"
)

func (r *reader) duration(section, key string, otherwise time.Duration) time.Duration {
	parse := func(k *ini.Key) (time.Duration, error) { return time.ParseDuration(k.String()) }
	return positive(r, section, key, otherwise, parse, "want a positive duration with its unit, such as 5s")
}

func (r *reader) float(section, key string, otherwise float64) float64 {
	return positive(r, section, key, otherwise, (*ini.Key).Float64, "want a positive number")
}

func (r *reader) int(section, key string, otherwise int) int {
	return positive(r, section, key, otherwise, (*ini.Key).Int, "want a positive whole number")
}

// positive reads a value above zero; a key that is not there gives otherwise, a wrong value the reason want.
func positive[T cmp.Ordered](r *reader, section, key string, otherwise T, parse func(*ini.Key) (T, error), want string) T {
	s := r.file.Section(section)
	if !s.HasKey(key) {
		return otherwise
	}
	var zero T
	v, err := parse(s.Key(key))
	if err != nil || v <= zero {
		r.fail(section, key, want)
		return otherwise
	}
	return v
}
