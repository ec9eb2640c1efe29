package hitchclaim

import (
	"slices"
	"strings"
)

// fakeStore is an in-memory key-value service.
type fakeStore struct {
	values       map[string]StoredValue
	revision     uint64
	writes       int
	bytesWritten int
}

func newFakeStore() *fakeStore { return &fakeStore{values: make(map[string]StoredValue)} }

// apply runs a command.
func (s *fakeStore) apply(c StoreCommand) StoreResponse {
	if c.Op == StoreList {
		return StoreResponse{ID: c.ID, Status: StoreDone, Values: s.list(c.Name)}
	}
	s.writes++
	s.bytesWritten += len(c.Value)
	if s.values[c.Name].Revision != c.ExpectedRevision {
		return StoreResponse{ID: c.ID, Status: StoreConflict}
	}
	if c.Op == StoreDelete {
		delete(s.values, c.Name)
		return StoreResponse{ID: c.ID, Status: StoreDone}
	}
	s.revision++
	s.values[c.Name] = StoredValue{Name: c.Name, Revision: s.revision, Value: c.Value}
	return StoreResponse{ID: c.ID, Status: StoreDone, Revision: s.revision}
}

func (s *fakeStore) list(prefix string) (values []StoredValue) {
	for name, value := range s.values {
		if strings.HasPrefix(name, prefix) {
			values = append(values, value)
		}
	}
	slices.SortFunc(values, func(a, b StoredValue) int { return strings.Compare(a.Name, b.Name) })
	return values
}
