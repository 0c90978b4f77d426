package vmlimits

import (
	"runtime/debug"
	"testing"
)

func TestLimitsThatAreStated(t *testing.T) {
	l := Limits{Memory: 160 << 20, Files: 700}
	if got := l.MemoryBudget(); got != 24<<20 {
		t.Errorf("budget %d", got)
	}
	if got := l.MaxConnections(); got != 225 {
		t.Errorf("%d connections", got)
	}
	if got := (Limits{Memory: 70 << 20}).MemoryBudget(); got != MinMemoryBudget {
		t.Errorf("least budget %d", got)
	}
	if got := (Limits{Files: 128}).sockets(); got != 64 {
		t.Errorf("%d sockets of few descriptors", got)
	}
}

func TestLimitsThatAreNotStatedAreDetected(t *testing.T) {
	if l := (Limits{}).Detect(); l.Memory <= 0 || l.Files <= 0 {
		t.Errorf("%+v", l)
	}
	if l := (Limits{Memory: 5, Files: 3}).Detect(); l.Memory != 5 || l.Files != 3 {
		t.Errorf("stated: %+v", l)
	}
}

func TestHeapLimitFollowsTheMemory(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	Limits{Memory: 100 << 20}.LimitHeap()
	Limits{}.LimitHeap()
	if got := debug.SetMemoryLimit(-1); got != 80<<20 {
		t.Errorf("%d bytes", got)
	}
}
