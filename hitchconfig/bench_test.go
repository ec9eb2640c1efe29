package hitchconfig

import "testing"

func BenchmarkAccept(b *testing.B) {
	h := Head{Configuration: large()}
	for b.Loop() {
		p, err := Draft{ID: "plan", Intent: zoneIntent(77), Base: h.Configuration, Keys: fleetKeys}.Plan(start)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := h.with(p.Token, "maja", start, fleetKeys); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	data, _ := large().Encode()
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDelta(b *testing.B) {
	base := large()
	next, _ := zoneIntent(77).Apply(base)
	sum, _ := next.Checksum()
	d := Delta{From: 1, To: 2, Intents: []Intent{zoneIntent(77)}, Checksum: sum, Proof: signRevision(fleetKeys, 2, sum)}
	for b.Loop() {
		if _, _, err := d.Open(base, fleetKeys); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkOrganisationByKey(b *testing.B) {
	x := large().Index()
	for b.Loop() {
		x.OrganisationByKey("key of organisation-100", start)
	}
}
