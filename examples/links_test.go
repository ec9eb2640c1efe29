package examples_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// link finds the target of a link of a page, without its anchor.
var link = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)

// TestLinks looks for each file that a page of the project links to.
func TestLinks(t *testing.T) {
	root := os.DirFS("..")
	count := 0
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		page, err := fs.ReadFile(root, path)
		if err != nil {
			return err
		}
		for _, found := range link.FindAllStringSubmatch(string(page), -1) {
			if strings.Contains(found[1], "://") {
				continue
			}
			count++
			file := filepath.Join("..", filepath.Dir(path), filepath.FromSlash(found[1]))
			_, err := os.Stat(file)
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s links to %s", path, found[1]))
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, count > 0, qt.IsTrue)
}
