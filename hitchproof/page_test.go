package hitchproof

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// root is the module's directory.
const root = ".."

// The ways in which a page names something in the code, each within backticks.
var (
	testName     = regexp.MustCompile("`((?:hitch[a-z]+|cmd/citronhitch))\\.((?:Test|Fuzz|Benchmark|Example)\\w*)(?:/([^`]+))?`")
	codeSpan     = regexp.MustCompile("`([^`]+)`")
	testCommand  = regexp.MustCompile(`go test .*-(?:bench|run) '?([\w|]+)'?.* \./([\w/]+)$`)
	measureNames = regexp.MustCompile(`citronhitch measure ([a-z|-]+)`)
)

// reference is a test, benchmark or example that a page names, and a case of it if
// the page names one.
type reference struct {
	pkg, function, subtest string
}

// pageOf reads a page of docs.
func pageOf(t *testing.T, name string) string {
	data, err := os.ReadFile(filepath.Join(root, "docs", name))
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

// references returns the tests that a page names in the form `package.Test/case`.
func references(page string) []reference {
	var all []reference
	for _, m := range testName.FindAllStringSubmatch(page, -1) {
		all = append(all, reference{pkg: m[1], function: m[2], subtest: m[3]})
	}
	return all
}

// pattern is what a go test command of a page selects in a package.
type pattern struct {
	pkg, text string
}

// patterns returns what the go test commands of a page select.
func patterns(page string) []pattern {
	var all []pattern
	for _, span := range codeSpan.FindAllStringSubmatch(page, -1) {
		m := testCommand.FindStringSubmatch(span[1])
		if m == nil {
			continue
		}
		for _, text := range strings.Split(m[1], "|") {
			all = append(all, pattern{pkg: m[2], text: text})
		}
	}
	return all
}

// measures returns the measurements that a page names.
func measures(page string) []string {
	var all []string
	for _, m := range measureNames.FindAllStringSubmatch(page, -1) {
		all = append(all, strings.Split(m[1], "|")...)
	}
	return all
}

// row is one line of a table of PROOF.md.
type row struct {
	id, promise, mechanism, test, figure, status string
}

// columns of a row, with the empty ones before the first and after the last bar.
const columns = 8

var rowID = regexp.MustCompile(`^[HF]\d+$`)

// rows returns the rows of the tables of PROOF.md, which start with an ID.
func rows(page string) []row {
	var all []row
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != columns {
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
