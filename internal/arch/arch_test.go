// Package arch_test checks the package dependencies, the size of the platform
// adapter and the generated reference pages.
package arch_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// purePackages lists the packages that must not do I/O, read the clock or use global
// randomness.
var purePackages = []string{"fault", "fleet", "routing", "cascade", "rollout", "session", "request", "quota", "billing", "membership", "lease", "slo", "invariant", "route", "backend", "freshness", "quarantine", "slowstart", "serverlimit", "serverstatus", "gate", "reachability", "concurrencylimit", "kvtransfer", "enginespeed", "fairshare", "urgency", "flowcontrol", "httpframing", "connlimit"}

// forbiddenImports lists the packages, with their subpackages, that a pure package
// must not import.
var forbiddenImports = []string{"net", "os", "io/fs", "syscall", "context", "sync", "crypto/rand", "github.com/charmbracelet/log"}

// importExceptions maps a pure package and an import, separated by a space, to the reason
// why the import is allowed.
var importExceptions = map[string]string{
	"fault net/http":        "names of status codes",
	"fleet net/netip":       "parsing of addresses, no I/O",
	"serverstatus net/http": "parsing of dates, no I/O",
}

func TestDecisionPackagesArePure(t *testing.T) {
	files := 0
	for _, pkg := range purePackages {
		matches, err := filepath.Glob(filepath.Join("..", pkg, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range matches {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			files++
			checkPurity(t, pkg, file)
		}
	}
	if files < len(purePackages) {
		t.Fatalf("checked only %d files", files)
	}
}

func checkPurity(t *testing.T, pkg, file string) {
	t.Helper()
	src, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range findViolations(t, pkg, file, string(src)) {
		t.Errorf("%s: %s", file, violation)
	}
}

// findViolations returns the forbidden imports and calls in a source file.
func findViolations(t *testing.T, pkg, name, src string) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), name, src, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, imp := range f.Imports {
		path, _ := strconv.Unquote(imp.Path.Value)
		for _, forbidden := range forbiddenImports {
			if (path == forbidden || strings.HasPrefix(path, forbidden+"/")) && importExceptions[pkg+" "+path] == "" {
				out = append(out, "imports "+path)
			}
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		id, ok := sel.X.(*ast.Ident)
		if !ok {
			return true
		}
		switch {
		case id.Name == "time" && (sel.Sel.Name == "Now" || sel.Sel.Name == "Since" || sel.Sel.Name == "Until" || sel.Sel.Name == "Sleep"):
			out = append(out, "reads the clock with time."+sel.Sel.Name)
		case id.Name == "rand" && sel.Sel.Name != "Rand" && sel.Sel.Name != "New" && sel.Sel.Name != "NewPCG":
			out = append(out, "uses the global random source rand."+sel.Sel.Name)
		}
		return true
	})
	return out
}

func TestFindViolations(t *testing.T) {
	src := "package x\nimport (\"net/http\"; \"time\"; \"math/rand/v2\")\nvar _ = http.Get\nvar _ = time.Now()\nvar _ = rand.IntN(3)\n"
	if got := findViolations(t, "routing", "x.go", src); len(got) != 3 {
		t.Fatalf("found %v", got)
	}
}
