package stand

import "time"

// MostInWindow returns the largest number of times within any span of the given length. The times are in order.
func MostInWindow[T interface{ Sub(T) time.Duration }](list []T, span time.Duration) int {
	most, first := 0, 0
	for i, at := range list {
		for at.Sub(list[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
