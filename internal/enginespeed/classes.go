package enginespeed

import "math"

const (
	// classStep is the difference of the logarithms of two neighbouring classes' factors.
	classStep = 0.125
	// maxClass bounds the classes.
	maxClass = 8
	// switchSteps is the distance from its class, in steps, at which an engine changes it.
	switchSteps = 0.75
	// minDeviation is the least logarithm by which an engine must differ from a typical one, and
	// sampleDeviation times noiseFactor that of a single sample.
	minDeviation    = 0.14
	sampleDeviation = 0.2
	noiseFactor     = 3
)

// Classes holds the speed class of each engine of a service. Coarse classes that engines keep
// while their estimate moves a little let daemons agree, and the homes of prompts stay. The zero
// value has typical engines only.
type Classes struct {
	byEngine map[Engine]int
}

// Change is a change of an engine's class.
type Change struct {
	Estimate
	Factor float64
}

// Update sets the classes by the estimates. Engines without one are typical.
func (c *Classes) Update(estimates []Estimate) (changes []Change) {
	next := make(map[Engine]int, len(c.byEngine))
	for _, e := range estimates {
		old := c.byEngine[e.Engine]
		class := nextClass(old, e)
		if class != 0 {
			next[e.Engine] = class
		}
		if class != old {
			changes = append(changes, Change{e, factorOf(class)})
		}
	}
	c.byEngine = next
	return changes
}

// nextClass returns the class of an engine that has been in another one.
func nextClass(old int, e Estimate) int {
	steps := e.LogRatio / classStep
	switch {
	case math.Abs(steps-float64(old)) <= switchSteps:
		return old
	case old == 0 && math.Abs(e.LogRatio) < max(minDeviation, noiseFactor*sampleDeviation/math.Sqrt(e.Samples)):
		return 0
	}
	return min(max(int(math.Round(steps)), -maxClass), maxClass)
}

// Factor returns the ratio of an engine's time to the typical engine's; 1 if they are alike.
func (c *Classes) Factor(engine Engine) float64 { return factorOf(c.byEngine[engine]) }

// AllTypical reports whether all factors are 1.
func (c *Classes) AllTypical() bool { return len(c.byEngine) == 0 }

// Count returns the number of engines that are slower and faster than the typical one.
func (c *Classes) Count() (slower, faster int) {
	for _, class := range c.byEngine {
		if class > 0 {
			slower++
		} else {
			faster++
		}
	}
	return slower, faster
}

func factorOf(class int) float64 {
	if class == 0 {
		return 1
	}
	return math.Exp(float64(class) * classStep)
}
