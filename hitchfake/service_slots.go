package hitchfake

import (
	"cmp"
	"net/http"
	"time"
)

// acquireSlot waits until the request may run. It reports false if the service
// crashed in a cold start or the client disconnected.
func (s *Service) acquireSlot(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, cold := s.Faults.find(FaultCold); cold && s.running+s.waiting >= cmp.Or(s.ColdLimit, defaultColdLimit) {
		s.downUntil = time.Now().Add(millis(s.DownMillis, defaultDownMillis))
		s.crashes++
		return false
	}
	s.waiting++
	for s.running >= cmp.Or(s.MaxRunning, defaultServiceMaxRunning) {
		if !s.waitForSlot(r) {
			s.waiting--
			return false
		}
	}
	s.waiting--
	s.running++
	s.recordLoad(time.Now())
	return true
}

// waitForSlot waits until a running request has finished, and reports false if the
// client disconnects first. The caller must hold s.mu, which is released meanwhile.
func (s *Service) waitForSlot(r *http.Request) bool {
	if s.slotFreed == nil {
		s.slotFreed = make(chan struct{})
	}
	freed := s.slotFreed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-freed:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Service) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.recordLoad(time.Now())
	if s.slotFreed != nil {
		close(s.slotFreed)
		s.slotFreed = nil
	}
}
