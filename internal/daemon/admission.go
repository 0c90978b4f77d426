package daemon

import "sync"

// admission counts the requests of the daemon until it stops, and admits none afterwards.
type admission struct {
	mu      sync.Mutex
	active  int
	stopped bool
	// idle is closed once the daemon has stopped and no request is active.
	idle chan struct{}
}

func newAdmission() *admission { return &admission{idle: make(chan struct{})} }

// enter counts a request and reports whether it is admitted. If so, leave must be called at its end.
func (a *admission) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return false
	}
	a.active++
	return true
}

func (a *admission) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	if a.stopped && a.active == 0 {
		close(a.idle)
	}
}

// stop ends the admission. Further calls have no effect.
func (a *admission) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopped && a.active == 0 {
		close(a.idle)
	}
	a.stopped = true
}

func (a *admission) hasStopped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopped
}
