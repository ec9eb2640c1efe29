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

// testSource is what the test files of a package declare.
type testSource struct {
	// literals are the string literals in each top-level function, by its name.
	literals map[string]map[string]bool
}

// sourceOf parses the test files of a package.
func sourceOf(t *testing.T, pkg string) testSource {
	paths, err := filepath.Glob(filepath.Join(root, pkg, "*_test.go"))
	qt.Assert(t, err, qt.IsNil)
	s := testSource{literals: make(map[string]map[string]bool)}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		qt.Assert(t, err, qt.IsNil)
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && f.Recv == nil {
				s.literals[f.Name.Name] = literalsOf(f)
			}
		}
	}
	return s
}

func literalsOf(f *ast.FuncDecl) map[string]bool {
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

// has tells whether a reference names a test that exists, with its case.
func (s testSource) has(r reference) bool {
	literals, ok := s.literals[r.function]
	if !ok || r.subtest == "" {
		return ok
	}
	return literals[r.subtest] || literals[strings.ReplaceAll(r.subtest, "_", " ")]
}

// matches tells whether a pattern of go test selects a test or benchmark.
func (s testSource) matches(text string) bool {
	for name := range s.literals {
		isSelectable := strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Benchmark") || strings.HasPrefix(name, "Fuzz")
		if isSelectable && strings.Contains(name, text) {
			return true
		}
	}
	return false
}
