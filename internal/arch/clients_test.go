package arch_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// standInPackages have clients that are no part of the product.
var standInPackages = []string{"standin", "demo", "enginetest", "feedtest"}

// Guards against clients that read responses from connections that are not checked.
func TestClientsCheckTheirConnections(t *testing.T) {
	files, clients := 0, 0
	for _, pattern := range []string{"../*/*.go", "../../platform/*.go", "../../cmd/*/*.go"} {
		matches, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range matches {
			if strings.HasSuffix(file, "_test.go") || slices.Contains(standInPackages, filepath.Base(filepath.Dir(file))) {
				continue
			}
			f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			files++
			found, unchecked := findClients(f)
			clients += found
			for _, what := range unchecked {
				t.Errorf("%s: %s", file, what)
			}
		}
	}
	if files < 100 || clients < 5 {
		t.Fatalf("found only %d clients in %d files", clients, files)
	}
}

// findClients returns the number of net/http's clients and transports in a file, and those that do not
// check their connections.
func findClients(f *ast.File) (found int, unchecked []string) {
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CompositeLit:
			switch selector(n.Type) {
			case "http.Client":
				found++
				if field(n, "Transport") == nil {
					unchecked = append(unchecked, "http.Client without a transport")
				}
			case "http.Transport":
				found++
				if call, ok := field(n, "DialContext").(*ast.CallExpr); !ok || !slices.Contains([]string{"checkedconn.Dialer", "Dialer"}, selector(call.Fun)) {
					unchecked = append(unchecked, "http.Transport without checkedconn.Dialer")
				}
			}
		case *ast.SelectorExpr:
			if name := selector(n); slices.Contains([]string{"http.DefaultClient", "http.DefaultTransport", "http.Get", "http.Head", "http.Post", "http.PostForm"}, name) {
				unchecked = append(unchecked, name)
			}
		}
		return true
	})
	return found, unchecked
}

// selector returns an identifier, or a selected one with its package; empty for other expressions.
func selector(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return selector(e.X) + "." + e.Sel.Name
	}
	return ""
}

// field returns the value of a field of a literal; nil if it is not set.
func field(l *ast.CompositeLit, name string) ast.Expr {
	for _, e := range l.Elts {
		if kv, ok := e.(*ast.KeyValueExpr); ok && selector(kv.Key) == name {
			return kv.Value
		}
	}
	return nil
}

func TestFindClients(t *testing.T) {
	for src, want := range map[string]int{
		"var c = http.Client{}":                                              1,
		"var c = &http.Client{Transport: t}":                                 0,
		"var t = &http.Transport{DialContext: d}":                            1,
		"var t = &http.Transport{DialContext: checkedconn.Dialer(d)}":        0,
		"func f() { http.DefaultClient.Do(nil); http.Get(\"http://a:1/\") }": 2,
	} {
		f, err := parser.ParseFile(token.NewFileSet(), "x.go", "package x\n"+src, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, unchecked := findClients(f); len(unchecked) != want {
			t.Errorf("%s: %v", src, unchecked)
		}
	}
}
