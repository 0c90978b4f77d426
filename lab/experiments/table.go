package main

import (
	"fmt"
	"io"
	"slices"
)

// row holds the values of one metric over all seeds.
type row struct {
	name string
	// values has one entry per seed.
	values []float64
	// target is the upper bound of the values, or the lower bound if atLeast is set.
	// Zero means no target.
	target  float64
	atLeast bool
}

func (r row) median() float64 {
	s := slices.Sorted(slices.Values(r.values))
	return s[len(s)/2]
}

func (r row) worst() float64 {
	if r.atLeast {
		return slices.Min(r.values)
	}
	return slices.Max(r.values)
}

func (r row) meets(v float64) bool {
	if r.atLeast {
		return v >= r.target
	}
	return v <= r.target
}

// write prints the median, the worst value and, if there is a target, the verdict.
func (r row) write(out io.Writer) {
	if r.target == 0 {
		fmt.Fprintf(out, "%-64s %10.4g %10.4g\n", r.name, r.median(), r.worst())
		return
	}
	sign, verdict := "<=", "met"
	if r.atLeast {
		sign = ">="
	}
	switch {
	case !r.meets(r.median()):
		verdict = "MISSED"
	case !r.meets(r.worst()):
		verdict = "met at the median, missed by the worst seed"
	}
	fmt.Fprintf(out, "%-64s %10.4g %10.4g   %s %-6.4g %s\n", r.name, r.median(), r.worst(), sign, r.target, verdict)
}

func writeTable(out io.Writer, title string, rows []row) {
	fmt.Fprintf(out, "\n%s\n%-64s %10s %10s\n", title, "", "median", "worst")
	for _, r := range rows {
		r.write(out)
	}
}

// collectValues runs a trial for every seed and appends its values to the rows in order.
func collectValues(seeds int, rows []row, trial func(seed uint64) []float64) []row {
	for seed := range seeds {
		for i, v := range trial(uint64(seed + 1)) {
			rows[i].values = append(rows[i].values, v)
		}
	}
	return rows
}
