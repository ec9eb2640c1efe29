package hitchproof

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// testSource holds the top-level functions in the test files of a package.
type testSource struct {
	// literalsByFunction has the string literals of each function, by its name. The name
	// of a subtest is looked up among them.
	literalsByFunction map[string]map[string]bool
}

// parseTestSource parses the test files of a package.
func parseTestSource(t *testing.T, pkg string) testSource {
	paths, err := filepath.Glob(filepath.Join(moduleDir, pkg, "*_test.go"))
	qt.Assert(t, err, qt.IsNil)
	s := testSource{literalsByFunction: make(map[string]map[string]bool)}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		qt.Assert(t, err, qt.IsNil)
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && f.Recv == nil {
				s.literalsByFunction[f.Name.Name] = stringLiterals(f)
			}
		}
	}
	return s
}

func stringLiterals(f *ast.FuncDecl) map[string]bool {
	found := make(map[string]bool)
	ast.Inspect(f, func(n ast.Node) bool {
		if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if text, err := strconv.Unquote(lit.Value); err == nil {
				found[text] = true
			}
		}
		return true
	})
	return found
}

// declares reports whether the referenced test and subtest exist. Spaces in the name
// of a subtest may be written as underscores.
func (s testSource) declares(r reference) bool {
	literals, ok := s.literalsByFunction[r.function]
	if !ok || r.subtest == "" {
		return ok
	}
	return literals[r.subtest] || literals[strings.ReplaceAll(r.subtest, "_", " ")]
}

// hasMatch reports whether a test, fuzz test or benchmark has a name that contains
// text.
func (s testSource) hasMatch(text string) bool {
	for name := range s.literalsByFunction {
		isSelectable := strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Benchmark") || strings.HasPrefix(name, "Fuzz")
		if isSelectable && strings.Contains(name, text) {
			return true
		}
	}
	return false
}
