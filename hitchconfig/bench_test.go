package hitchconfig

import "testing"

func BenchmarkAccept(b *testing.B) {
	h := Head{Configuration: largeConfiguration()}
	for b.Loop() {
		p, err := PlanInput{ID: "plan", Intent: zoneIntent(77), Base: h.Configuration, Keys: fleetKeys}.Plan(start)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := h.accept(p.Token, "maja", start, fleetKeys); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	data, _ := largeConfiguration().Encode()
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDelta(b *testing.B) {
	base := largeConfiguration()
	next, _ := zoneIntent(77).Apply(base)
	sum, _ := next.Checksum()
	d := Delta{From: 1, To: 2, Intents: []Intent{zoneIntent(77)}, Checksum: sum, Proof: signRevision(fleetKeys, 2, sum)}
	for b.Loop() {
		if _, _, err := d.Apply(base, fleetKeys); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkOrganisationByKey(b *testing.B) {
	x := largeConfiguration().Index()
	for b.Loop() {
		x.OrganisationByKey("key of organisation-100", start)
	}
}
