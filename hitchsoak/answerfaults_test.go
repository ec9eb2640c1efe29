package hitchsoak

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// configInStore returns the configuration that the store has.
func configInStore(t *testing.T, f *fleet) []byte {
	w := httptest.NewRecorder()
	f.store.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/kv-key?key=op/config", nil))
	var entry struct{ Value []byte }
	qt.Assert(t, json.NewDecoder(w.Body).Decode(&entry), qt.IsNil)
	return entry.Value
}

// TestSeriesOfConfigurations checks that the configuration changes several times a second,
// keeps a revoked key out, and is the usual one afterwards. The same fault gives the same
// series.
func TestSeriesOfConfigurations(t *testing.T) {
	fault := Fault{Kind: ChangeConfigs, Begin: seconds(5), End: seconds(9)}
	play := func() (seen []string) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{keys: []string{"key-0", "key-1"}}
			f.writeConfig()
			undoRevocation := f.startFault(Fault{Kind: RevokeKey, Target: 1})
			undo := f.startFault(fault)
			for begin := time.Now(); time.Since(begin) < fault.End-fault.Begin; time.Sleep(10 * time.Millisecond) {
				synctest.Wait()
				b := string(configInStore(t, f))
				qt.Assert(t, strings.Contains(b, `"key-0"`) && !strings.Contains(b, `"key-1"`), qt.IsTrue, qt.Commentf("%s", b))
				if len(seen) == 0 || seen[len(seen)-1] != b {
					seen = append(seen, b)
				}
			}
			undo()
			undoRevocation()
			qt.Assert(t, string(configInStore(t, f)), qt.Equals, string(hitchstandin.Config(f.version, f.keys, hitchstandin.Variation{})))
		})
		return seen
	}
	seen := play()
	qt.Assert(t, len(seen) >= 10 && len(seen) <= 40, qt.IsTrue, qt.Commentf("%d in 4 s", len(seen)))
	qt.Assert(t, play(), qt.DeepEquals, seen)
}

// TestSeriesOfReloads checks that a settings file changes several times a second and is
// complete at each moment.
func TestSeriesOfReloads(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{}
		for n, ip := range []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"} {
			f.instances = append(f.instances, &instance{name: "router", ip: ip, settings: filepath.Join(dir, string(rune('a'+n)))})
		}
		undo := f.startFault(Fault{Kind: ReloadSeries, Target: 1})
		var seen []string
		for begin := time.Now(); time.Since(begin) < 4*time.Second; time.Sleep(10 * time.Millisecond) {
			synctest.Wait()
			b, err := os.ReadFile(f.instances[1].settings)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, strings.HasPrefix(string(b), "node = ") && strings.Contains(string(b), "[platform]\naddress"), qt.IsTrue)
			if len(seen) == 0 || seen[len(seen)-1] != string(b) {
				seen = append(seen, string(b))
			}
		}
		undo()
		qt.Assert(t, len(seen) >= 4, qt.IsTrue, qt.Commentf("%d in 4 s", len(seen)))
		qt.Assert(t, f.processViolations(), qt.HasLen, 0)
	})
}
