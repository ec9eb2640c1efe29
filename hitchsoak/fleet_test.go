package hitchsoak

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// storeHas reports whether the store's entry of a key exists and contains a text.
func storeHas(f *fleet, key, text string) bool {
	w := httptest.NewRecorder()
	f.store.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/kv-key?key="+key, nil))
	if w.Code != http.StatusOK {
		return false
	}
	var entry struct{ Value []byte }
	if json.NewDecoder(w.Body).Decode(&entry) != nil {
		return false
	}
	return strings.Contains(string(entry.Value), text)
}

// TestOverlappingFaultsLastUntilTheLastEnds checks that an endpoint stays removed, and a key
// revoked, until the end of each fault that the plan has for it.
func TestOverlappingFaultsLastUntilTheLastEnds(t *testing.T) {
	f := &fleet{keys: []string{"key-0"}}
	f.endpoints = []*endpoint{{Endpoint: hitchstandin.Endpoint{ID: endpointName(0), RunLog: &f.runLog}}}
	key := f.endpoints[0].Key()
	tests := map[string]struct {
		start func() func()
		isOn  func() bool
	}{
		"removed endpoint": {func() func() { return f.startFault(Fault{Kind: LeaveEndpoint}) }, func() bool { return !storeHas(f, key, "") }},
		"revoked key":      {func() func() { return f.startFault(Fault{Kind: RevokeKey}) }, func() bool { return !storeHas(f, "op/config", "key-0") }},
	}
	f.writeConfig()
	f.store.Put(key, f.endpoints[0].Entry("ready"))
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, test.isOn(), qt.IsFalse)
			endFirst, endSecond := test.start(), test.start()
			qt.Assert(t, test.isOn(), qt.IsTrue)
			endFirst()
			qt.Assert(t, test.isOn(), qt.IsTrue)
			endSecond()
			qt.Assert(t, test.isOn(), qt.IsFalse)
		})
	}
}
