package arch_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wireNames matches names of the platform's wire protocols. Only platform/ may use
// them, besides the stand-ins and the soak test, which act as its clients and servers.
var wireNames = regexp.MustCompile(`(?i)x-damaskrudder-|"/-/|keyed\.(op|servers|status)|kv-from|log-append`)

func TestWireNamesOnlyInPlatform(t *testing.T) {
	root := filepath.Join("..", "..")
	matches := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		found := wireNames.Find(text)
		switch slashPath := filepath.ToSlash(rel); {
		case strings.HasPrefix(slashPath, "platform/"):
			if found != nil {
				matches++
			}
		case strings.HasPrefix(slashPath, "internal/standin/"), strings.HasPrefix(slashPath, "lab/soak/"):
		case found != nil:
			t.Errorf("%s contains wire name %q", rel, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if matches == 0 {
		t.Error("the pattern matches nothing in platform/")
	}
}

// maxPlatformLines limits the size of the adapter, which must not contain decision
// logic.
const maxPlatformLines = 2500

func TestPlatformSize(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "platform", "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		lines += strings.Count(string(text), "\n")
	}
	if lines == 0 || lines > maxPlatformLines {
		t.Errorf("platform/ has %d lines, at most %d", lines, maxPlatformLines)
	}
}
