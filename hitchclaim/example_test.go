package hitchclaim_test

import (
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchclaim"
)

// A booking is journaled, dispatched and finished. A retry with the same key gets the
// same response; another request with the same key is refused.
func Example() {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	self := hitchclaim.HomeID{Instance: "router-1", Incarnation: hitchclaim.NewIncarnation(now, 0)}
	minter := hitchclaim.Minter{Secrets: hitchclaim.Secrets{}.WithSigning([]byte("a secret of the fleet"))}
	home := &hitchclaim.Home{Self: self}

	text, _, err := minter.Mint(now, self, "aquarium", "boxoffice-api")
	if err != nil {
		panic(err)
	}
	key, err := minter.Secrets.Parse(text)
	if err != nil {
		panic(err)
	}
	call := hitchclaim.Call{Key: key, Organisation: "aquarium", Route: "boxoffice-api"}
	call.RequestDigest = hitchclaim.DigestOf([]byte("/bookings"), []byte("two adults"))

	d := home.BeginCall(now, call)
	fmt.Println(d.Action)
	d = home.AuthorizeDispatch(now, d.Run, true)
	fmt.Println(d.Action)
	home.FinishRun(now, d.Run, hitchclaim.Result{Status: 201, Body: []byte("ticket 17")})
	d = home.BeginCall(now, call)
	fmt.Printf("%s %s\n", d.Action, d.Result.Body)

	call.RequestDigest = hitchclaim.DigestOf([]byte("/bookings"), []byte("three adults"))
	fmt.Println(home.BeginCall(now, call).Refusal)
	// Output:
	// Journal
	// Dispatch
	// Replay ticket 17
	// KeyReused (NotRun): the key was used with another request, and this one was not run
}
