package main

import (
	"math"
	"testing"
)

func TestFitRecoversALine(t *testing.T) {
	var points []point
	for _, x := range []float64{1, 2, 4, 8} {
		points = append(points, point{size: x, cpu: 3 + 0.5*x})
	}
	l := fit(points, quantities[0].of)
	if math.Abs(l.base-3) > 1e-9 || math.Abs(l.slope-0.5) > 1e-9 || l.worst > 1e-9 {
		t.Fatalf("%+v", l)
	}
	points[3].cpu *= 2
	if l := fit(points, quantities[0].of); l.worst < 0.1 {
		t.Fatalf("the error of a bad fit is hidden: %+v", l)
	}
}
