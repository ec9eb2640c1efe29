package hitchfake

import (
	"cmp"
	"net/http"
	"time"
)

// acquire waits for a place among the running requests. It fails if a cold
// service fell over or the caller went away.
func (s *Service) acquire(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, cold := s.Faults.first(FaultCold); cold && s.running+s.waiting >= cmp.Or(s.ColdLimit, defaultColdLimit) {
		s.downUntil = time.Now().Add(millis(s.DownMillis, defaultDownMillis))
		s.falls++
		return false
	}
	s.waiting++
	for s.running >= cmp.Or(s.MaxRunning, defaultServiceRunning) {
		if !s.awaitFreed(r) {
			s.waiting--
			return false
		}
	}
	s.waiting--
	s.running++
	s.note(time.Now())
	return true
}

// awaitFreed gives up the lock until a request is done.
func (s *Service) awaitFreed(r *http.Request) bool {
	if s.freed == nil {
		s.freed = make(chan struct{})
	}
	freed := s.freed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-freed:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.note(time.Now())
	if s.freed != nil {
		close(s.freed)
		s.freed = nil
	}
}
