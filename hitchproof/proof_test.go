package hitchproof

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchmeasure"
)

var pages = []string{"PROOF.md", "CAPACITY.md"}

// Minimum numbers of rows in PROOF.md: promises (H) and faults (F).
const (
	minPromises = 9
	minFaults   = 12
)

func TestNamedTestsExist(t *testing.T) {
	for _, name := range pages {
		t.Run(name, func(t *testing.T) {
			page := readPage(t, name)
			for _, r := range testReferences(page) {
				qt.Check(t, parseTestSource(t, r.pkg).declares(r), qt.IsTrue, qt.Commentf("%+v", r))
			}
			for _, p := range commandPatterns(page) {
				qt.Check(t, parseTestSource(t, p.pkg).hasMatch(p.text), qt.IsTrue, qt.Commentf("%+v", p))
			}
		})
	}
}

func TestNamedMeasurementsExist(t *testing.T) {
	allMeasurements := lo.Map(hitchmeasure.Measurements(), func(m hitchmeasure.Measurement, _ int) string { return m.Name })
	for _, name := range pages {
		t.Run(name, func(t *testing.T) {
			named := measurementNames(readPage(t, name))
			qt.Assert(t, len(named) > 0, qt.IsTrue)
			for _, measure := range named {
				qt.Check(t, allMeasurements, qt.Contains, measure)
			}
		})
	}
}

func TestCapacityNamesItsCommands(t *testing.T) {
	qt.Assert(t, len(commandPatterns(readPage(t, "CAPACITY.md"))) > 0, qt.IsTrue)
}

// TestRowsAreComplete checks that each row has a unique ID, a mechanism and a known
// status, and that each row with a status other than "not" names a test.
func TestRowsAreComplete(t *testing.T) {
	all := tableRows(readPage(t, "PROOF.md"))
	count := lo.CountValuesBy(all, func(r row) string { return r.id[:1] })
	qt.Assert(t, count["H"] >= minPromises, qt.IsTrue)
	qt.Assert(t, count["F"] >= minFaults, qt.IsTrue)
	qt.Assert(t, lo.UniqBy(all, func(r row) string { return r.id }), qt.HasLen, len(all))
	for _, r := range all {
		qt.Check(t, []string{"proved", "partly", "not"}, qt.Contains, r.status, qt.Commentf("%s", r.id))
		qt.Check(t, r.status == "not" || len(testReferences(r.test)) > 0, qt.IsTrue, qt.Commentf("%s doesn't name a test", r.id))
		qt.Check(t, r.mechanism != "", qt.IsTrue, qt.Commentf("%s doesn't name a mechanism", r.id))
	}
}

// TestUnprovedRowsAreListed checks that the page's list of unproved rows contains
// exactly the rows whose status isn't "proved".
func TestUnprovedRowsAreListed(t *testing.T) {
	page := readPage(t, "PROOF.md")
	_, list, ok := strings.Cut(page, "## What isn't proved")
	qt.Assert(t, ok, qt.IsTrue)
	list, _, _ = strings.Cut(list, "\n## ")
	for _, r := range tableRows(page) {
		isListed := strings.Contains(list, "- "+r.id+":")
		qt.Check(t, isListed, qt.Equals, r.status != "proved", qt.Commentf("%s", r.id))
	}
}

func TestPageParsers(t *testing.T) {
	page := "`hitchx.TestA/with_a_case`, `go test -run '^$' -bench 'B|C' -benchtime 1x ./hitchy`, `citronhitch measure d|e-f`"
	qt.Assert(t, testReferences(page)[0].subtest, qt.Equals, "with_a_case")
	qt.Assert(t, commandPatterns(page)[1].text, qt.Equals, "C")
	qt.Assert(t, measurementNames(page), qt.DeepEquals, []string{"d", "e-f"})
}
