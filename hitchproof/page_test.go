package hitchproof

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// moduleDir is the module's root directory.
const moduleDir = ".."

// Forms in which a page refers to code, within backticks.
var (
	testReference  = regexp.MustCompile("`((?:hitch[a-z]+|cmd/citronhitch))\\.((?:Test|Fuzz|Benchmark|Example)\\w*)(?:/([^`]+))?`")
	codeSpan       = regexp.MustCompile("`([^`]+)`")
	testCommand    = regexp.MustCompile(`go test .*-(?:bench|run) '?([\w|]+)'?.* \./([\w/]+)$`)
	measureCommand = regexp.MustCompile(`citronhitch measure ([a-z|-]+)`)
)

// reference is a test, fuzz test, benchmark or example that a page names, with a
// subtest if the page names one.
type reference struct {
	pkg, function, subtest string
}

// readPage reads a page in docs.
func readPage(t *testing.T, name string) string {
	data, err := os.ReadFile(filepath.Join(moduleDir, "docs", name))
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

// testReferences returns the references of a page in the form `package.Test/case`.
func testReferences(page string) []reference {
	var all []reference
	for _, m := range testReference.FindAllStringSubmatch(page, -1) {
		all = append(all, reference{pkg: m[1], function: m[2], subtest: m[3]})
	}
	return all
}

// commandPattern is one alternative of the -run or -bench pattern of a go test command
// on a page, with the command's package.
type commandPattern struct {
	pkg, text string
}

// commandPatterns returns the patterns of the go test commands on a page.
func commandPatterns(page string) []commandPattern {
	var all []commandPattern
	for _, span := range codeSpan.FindAllStringSubmatch(page, -1) {
		m := testCommand.FindStringSubmatch(span[1])
		if m == nil {
			continue
		}
		for _, text := range strings.Split(m[1], "|") {
			all = append(all, commandPattern{pkg: m[2], text: text})
		}
	}
	return all
}

// measurementNames returns the names of measurements in the citronhitch measure
// commands on a page.
func measurementNames(page string) []string {
	var all []string
	for _, m := range measureCommand.FindAllStringSubmatch(page, -1) {
		all = append(all, strings.Split(m[1], "|")...)
	}
	return all
}

// row is one row of a table in PROOF.md.
type row struct {
	id, promise, mechanism, test, figure, status string
}

// cellsPerRow is the number of cells of a row, including the empty ones before the
// first and after the last bar.
const cellsPerRow = 8

var rowID = regexp.MustCompile(`^[HF]\d+$`)

// tableRows returns the rows of the tables in PROOF.md. They start with an ID.
func tableRows(page string) []row {
	var all []row
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != cellsPerRow {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if rowID.MatchString(cells[1]) {
			all = append(all, row{cells[1], cells[2], cells[3], cells[4], cells[5], cells[6]})
		}
	}
	return all
}
