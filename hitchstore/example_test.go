package hitchstore_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"time"

	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchstore"
)

// Two writers create the same key; the second gets a conflict with the writer of the
// key.
func ExampleClient_Swap() {
	var store hitchfake.Store
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	first := hitchstore.Client{Endpoints: []string{server.URL}, Writer: "router-1"}
	second := hitchstore.Client{Endpoints: []string{server.URL}, Writer: "router-2"}
	ctx := context.Background()

	entry, err := first.Swap(ctx, "orders/holder", 0, []byte("router-1"), 0)
	fmt.Println(string(entry.Value), err)
	_, err = second.Swap(ctx, "orders/holder", 0, []byte("router-2"), 0)
	var conflict *hitchstore.ConflictError
	if errors.As(err, &conflict) {
		fmt.Println("held by", conflict.Current.Writer)
	}
	// Output:
	// router-1 <nil>
	// held by router-1
}

// A key that is attached to a lease is deleted when the lease is revoked or expires.
func ExampleClient_GrantLease() {
	var store hitchfake.Store
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	client := hitchstore.Client{Endpoints: []string{server.URL}, Writer: "router-1"}
	ctx := context.Background()

	lease, err := client.GrantLease(ctx, time.Now().Add(10*time.Second))
	if err != nil {
		fmt.Println(err)
		return
	}
	_, err = client.Swap(ctx, "orders/holder", 0, []byte("router-1"), lease.ID)
	fmt.Println(err)
	fmt.Println(client.Revoke(ctx, lease.ID))
	entry, err := client.Get(ctx, "orders/holder")
	fmt.Println(entry.Exists, err)
	// Output:
	// <nil>
	// <nil>
	// false <nil>
}

// A watch reports the present entries first, and then each change.
func ExampleClient_Watch() {
	var store hitchfake.Store
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	client := hitchstore.Client{Endpoints: []string{server.URL}, Writer: "router-1"}
	ctx := context.Background()

	entry, err := client.Swap(ctx, "config", 0, []byte("first"), 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	errDone := errors.New("done")
	err = client.Watch(ctx, hitchstore.Key("config"), 0, func(seen hitchstore.Entry) error {
		fmt.Println(string(seen.Value))
		if string(seen.Value) == "second" {
			return errDone
		}
		_, err := client.Swap(ctx, "config", entry.Revision, []byte("second"), 0)
		return err
	})
	fmt.Println(err)
	// Output:
	// first
	// second
	// done
}
