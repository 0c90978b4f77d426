package main

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	var points []point
	for _, x := range []float64{1, 2, 4, 8} {
		points = append(points, point{size: x, cpu: 3 + 0.5*x})
	}
	l := fit(points, metrics[0].value)
	if math.Abs(l.intercept-3) > 1e-9 || math.Abs(l.slope-0.5) > 1e-9 || l.maxRelativeError > 1e-9 {
		t.Fatalf("got %+v", l)
	}
	points[3].cpu *= 2
	if l := fit(points, metrics[0].value); l.maxRelativeError < 0.1 {
		t.Fatalf("the error of a bad fit is too small: %+v", l)
	}
}
