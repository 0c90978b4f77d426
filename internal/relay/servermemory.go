package relay

import (
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

// excludeFull records the bytes that plain servers hold for this daemon and excludes those whose
// memory a further body may exceed. Callers hold mu.
func (s *State) excludeFull(sel *selection, req *requirements) {
	sel.full = 0
	if req.engine != nil || req.bodyBytes == 0 {
		return
	}
	memory, now := &sel.service.memory, s.bootTime()
	for i := range sel.candidates {
		candidate := &sel.candidates[i]
		candidate.BodyBytes = memory.Bytes(candidate.ID)
		if sel.request.Tried.Has(i) || memory.Admits(candidate.ID, int64(req.bodyBytes), now) {
			continue
		}
		sel.request.Tried.Add(i)
		sel.full++
	}
}

// recordBodies records that a target holds the body of a request, or no longer does.
func (s *State) recordBodies(sv *service, t *target, held bool) {
	n := int64(t.bodyBytes)
	if !held {
		n = -n
	}
	sv.memory.Add(t.server.ID, n, s.bootTime())
}

// recordBytesAtEnd learns from the bytes that a server held when it ended by itself.
func (r *Relay) recordBytesAtEnd(run quarantine.IncarnationKey) {
	s := r.State
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.services {
		sv := s.serviceFor(name)
		id, known := sv.idByKey[ServerKey(run)]
		if !known {
			continue
		}
		if held, lowered := sv.memory.RecordEnd(id, s.bootTime()); lowered {
			r.Metrics.ServerMemoryBounds.Inc(1)
			r.log.Warn("server ended with large bodies", "service", name, "server", id, "bytes", held, "bound", sv.memory.Bound(s.bootTime()))
		}
	}
}
