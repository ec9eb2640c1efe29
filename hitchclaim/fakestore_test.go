package hitchclaim

import (
	"slices"
	"strings"
)

// fakeStore is a key-value service in memory.
type fakeStore struct {
	values   map[string]Stored
	revision uint64
	writes   int
	bytes    int
}

func newFakeStore() *fakeStore { return &fakeStore{values: make(map[string]Stored)} }

// apply carries out a command.
func (s *fakeStore) apply(c StoreCommand) StoreAnswer {
	if c.Verb == StoreList {
		return StoreAnswer{ID: c.ID, Status: StoreDone, Values: s.list(c.Name)}
	}
	s.writes++
	s.bytes += len(c.Value)
	if s.values[c.Name].Revision != c.Was {
		return StoreAnswer{ID: c.ID, Status: StoreConflict}
	}
	if c.Verb == StoreDelete {
		delete(s.values, c.Name)
		return StoreAnswer{ID: c.ID, Status: StoreDone}
	}
	s.revision++
	s.values[c.Name] = Stored{Name: c.Name, Revision: s.revision, Value: c.Value}
	return StoreAnswer{ID: c.ID, Status: StoreDone, Revision: s.revision}
}

func (s *fakeStore) list(prefix string) (values []Stored) {
	for name, value := range s.values {
		if strings.HasPrefix(name, prefix) {
			values = append(values, value)
		}
	}
	slices.SortFunc(values, func(a, b Stored) int { return strings.Compare(a.Name, b.Name) })
	return values
}
