package hitchedge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	hitchplatform "citronhitch.example/citronhitch/platform"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// TestInstanceListensBeforeItIsListed covers an instance that starts slowly: directories
// name it from the moment in which its entry is in the store, and callers must not find
// its port closed then.
func TestInstanceListensBeforeItIsListed(t *testing.T) {
	pid := os.Getpid() // addresses of its own, so that no other test gets the ports
	ip := fmt.Sprintf("127.%d.%d.9", 224+pid%16, pid/16%256)
	var store hitchstandin.Store
	dialed, registered := make(chan error, 8), make(chan struct{}, 1)
	storeServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/kv-txn" {
			c, err := net.Dial("tcp", hitchstandin.FrontAddr(ip))
			if err == nil {
				_ = c.Close()
			}
			select {
			case dialed <- err:
			default:
			}
			select {
			case registered <- struct{}{}:
			default:
			}
		}
		store.ServeHTTP(w, r)
	}))
	defer storeServer.CloseClientConnections() // the test's last watches
	store.Put("op/config", hitchstandin.Config(1, nil, hitchstandin.Variation{}))
	path := filepath.Join(t.TempDir(), "node.toml")
	text := hitchstandin.Settings("n", ip, "a", strings.TrimPrefix(storeServer.URL, "http://"), []string{hitchstandin.ControlAddr(ip)})
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	settings, err := hitchplatform.ReadSettings(path)
	qt.Assert(t, err, qt.IsNil)
	e := &Edge{Settings: settings, Log: hclog.NewNullLogger()}
	// The listener opens only once the instance is registered, or would have been.
	e.listen = func(network, addr string) (net.Listener, error) {
		select {
		case <-registered:
		case <-time.After(500 * time.Millisecond):
		}
		return net.Listen(network, addr)
	}
	e.initialize()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	qt.Check(t, <-dialed, qt.IsNil)
	stop()
	qt.Assert(t, <-ended, qt.IsNil)
}
