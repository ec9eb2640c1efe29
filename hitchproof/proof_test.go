package hitchproof

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchmeasure"
)

var pages = []string{"PROOF.md", "CAPACITY.md"}

// The least rows of PROOF.md: its promises and its faults.
const (
	leastPromises = 9
	leastFaults   = 12
)

func TestNamedTestsExist(t *testing.T) {
	for _, name := range pages {
		t.Run(name, func(t *testing.T) {
			page := pageOf(t, name)
			for _, r := range references(page) {
				qt.Check(t, sourceOf(t, r.pkg).has(r), qt.IsTrue, qt.Commentf("%+v", r))
			}
			for _, p := range patterns(page) {
				qt.Check(t, sourceOf(t, p.pkg).matches(p.text), qt.IsTrue, qt.Commentf("%+v", p))
			}
		})
	}
}

func TestNamedMeasurementsExist(t *testing.T) {
	known := lo.Map(hitchmeasure.Measurements(), func(m hitchmeasure.Measurement, _ int) string { return m.Name })
	for _, name := range pages {
		t.Run(name, func(t *testing.T) {
			named := measures(pageOf(t, name))
			qt.Assert(t, len(named) > 0, qt.IsTrue)
			for _, measure := range named {
				qt.Check(t, known, qt.Contains, measure)
			}
		})
	}
}

func TestCapacityNamesItsCommands(t *testing.T) {
	qt.Assert(t, len(patterns(pageOf(t, "CAPACITY.md"))) > 0, qt.IsTrue)
}

// TestRowsAreWhole shows that each row has a known status, that what is proved
// names its test, and that each row has an ID of its own.
func TestRowsAreWhole(t *testing.T) {
	all := rows(pageOf(t, "PROOF.md"))
	count := lo.CountValuesBy(all, func(r row) string { return r.id[:1] })
	qt.Assert(t, count["H"] >= leastPromises, qt.IsTrue)
	qt.Assert(t, count["F"] >= leastFaults, qt.IsTrue)
	qt.Assert(t, lo.UniqBy(all, func(r row) string { return r.id }), qt.HasLen, len(all))
	for _, r := range all {
		qt.Check(t, []string{"proved", "partly", "not"}, qt.Contains, r.status, qt.Commentf("%s", r.id))
		qt.Check(t, r.status == "not" || len(references(r.test)) > 0, qt.IsTrue, qt.Commentf("%s names no test", r.id))
		qt.Check(t, r.mechanism != "", qt.IsTrue, qt.Commentf("%s names no mechanism", r.id))
	}
}

// TestWhatIsNotProvedIsListed shows that the list of what isn't proved names
// exactly the rows whose status says so.
func TestWhatIsNotProvedIsListed(t *testing.T) {
	page := pageOf(t, "PROOF.md")
	_, list, ok := strings.Cut(page, "## What isn't proved")
	qt.Assert(t, ok, qt.IsTrue)
	list, _, _ = strings.Cut(list, "\n## ")
	for _, r := range rows(page) {
		isListed := strings.Contains(list, "- "+r.id+":")
		qt.Check(t, isListed, qt.Equals, r.status != "proved", qt.Commentf("%s", r.id))
	}
}

func TestReferencesAreFound(t *testing.T) {
	page := "`hitchx.TestA/with_a_case`, `go test -run '^$' -bench 'B|C' -benchtime 1x ./hitchy`, `citronhitch measure d|e-f`"
	qt.Assert(t, references(page)[0].subtest, qt.Equals, "with_a_case")
	qt.Assert(t, patterns(page)[1].text, qt.Equals, "C")
	qt.Assert(t, measures(page), qt.DeepEquals, []string{"d", "e-f"})
}
