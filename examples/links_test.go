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

// linkPattern matches a Markdown link and captures its target without the anchor.
var linkPattern = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)

// TestLinks checks that the files exist that the pages of the project link to.
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
		for _, match := range linkPattern.FindAllStringSubmatch(string(page), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			count++
			file := filepath.Join("..", filepath.Dir(path), filepath.FromSlash(match[1]))
			_, err := os.Stat(file)
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s links to %s", path, match[1]))
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, count > 0, qt.IsTrue)
}
