package arch_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wireNames are names of the users' platform. They are decoded once, in platform/;
// stand-ins and the soak, which plays callers and the operator, speak them to it.
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
			t.Errorf("%s has %q", rel, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if matches == 0 {
		t.Error("the pattern finds nothing in platform/ either")
	}
}

// maxPlatformLines keeps the adapter small: what decides belongs to the product.
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
