package main

import "math"

// point holds the mean cost of one daemon at one size.
type point struct {
	size float64
	// cpu is in percent of a core.
	cpu float64
	// heap is in KiB and includes stacks.
	heap float64
	// bytes is the peer traffic in bytes per second, both directions.
	bytes float64
	// reads and appends are calls of the log per second.
	reads, appends float64
}

type metric struct {
	name  string
	value func(point) float64
}

var metrics = []metric{
	{"CPU %core", func(p point) float64 { return p.cpu }},
	{"heap KB", func(p point) float64 { return p.heap }},
	{"peer B/s", func(p point) float64 { return p.bytes }},
	{"log reads/s", func(p point) float64 { return p.reads }},
	{"log appends/s", func(p point) float64 { return p.appends }},
}

// line is a fitted line with its maximum relative error over the points.
type line struct{ intercept, slope, maxRelativeError float64 }

// fit returns the least-squares line of a value over the size.
func fit(points []point, value func(point) float64) line {
	var sx, sy, sxx, sxy float64
	n := float64(len(points))
	for _, p := range points {
		x, y := p.size, value(p)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	fitted := line{slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	fitted.intercept = (sy - fitted.slope*sx) / n
	for _, p := range points {
		y := value(p)
		if y == 0 {
			continue
		}
		fitted.maxRelativeError = math.Max(fitted.maxRelativeError, math.Abs(fitted.intercept+fitted.slope*p.size-y)/y)
	}
	return fitted
}
