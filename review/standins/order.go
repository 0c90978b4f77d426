package main

import (
	"slices"
	"time"
)

// nth returns the nth smallest of some times, from 1.
func nth(times []time.Duration, n int) time.Duration {
	slices.Sort(times)
	return times[n-1]
}
