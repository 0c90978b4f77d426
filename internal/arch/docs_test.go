package arch_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

var update = flag.Bool("update", false, "write the generated pages")

// comparePage compares a page in docs with the generated text, or writes it with
// -update.
func comparePage(t *testing.T, name, want string) {
	t.Helper()
	file := filepath.Join("..", "..", "docs", name)
	if *update {
		if err := os.WriteFile(file, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s is out of date; run go test ./internal/arch -update", name)
	}
}

func TestErrorsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Errors\n\nEvery refusal has one of these kinds. `ran` says whether the request was executed:\n`not_run` is always true; an error may carry a less certain word than the table's.\nMade from the table in `internal/fault`.\n\n| kind | status | ran | advice | meaning |\n|---|---|---|---|---|\n")
	for _, spec := range fault.Specs() {
		advice := "-"
		if spec.RetryAfter > 0 {
			advice = "after " + spec.RetryAfter.String()
		}
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s |\n", spec.Kind, spec.Status, spec.Execution, advice, spec.Description)
	}
	comparePage(t, "ERRORS.md", b.String())
}

func TestMetricsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Metrics\n\nServed at `/metrics` in Prometheus' text form, each with the prefix `damaskrudder_`.\nMade from the lists in `internal/daemon` and `internal/relay`.\n")
	for _, list := range []struct {
		title, file string
		names       map[string]string
	}{
		{"Of a daemon with the product's own interface", "daemon", daemon.MetricDescriptions()},
		{"Of a daemon on the users' platform", "relay", relay.MetricDescriptions()},
	} {
		fmt.Fprintf(&b, "\n## %s\n\n| name | meaning |\n|---|---|\n", list.title)
		for _, n := range slices.Sorted(maps.Keys(list.names)) {
			fmt.Fprintf(&b, "| `%s` | %s |\n", n, list.names[n])
		}
		checkRegisteredMetrics(t, list.file, list.names)
	}
	comparePage(t, "METRICS.md", b.String())
}

// checkRegisteredMetrics compares documented metrics with those that a package
// registers in its metrics.go.
func checkRegisteredMetrics(t *testing.T, pkg string, names map[string]string) {
	t.Helper()
	src, err := os.ReadFile(filepath.Join("..", pkg, "metrics.go"))
	if err != nil {
		t.Fatal(err)
	}
	for n := range names {
		if !strings.Contains(string(src), `("`+n+`"`) {
			t.Errorf("%s is documented but not registered", n)
		}
	}
	if used := strings.Count(string(src), `Counter("`) + strings.Count(string(src), `Gauge("`) + strings.Count(string(src), `Histogram("`); used != len(names) {
		t.Errorf("%s: %d metrics are registered, %d are documented", pkg, used, len(names))
	}
}

func TestSettingsPage(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", "settings", "settings.go"), nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	b.WriteString("# Settings\n\nJSON with comments; an unknown field is an error. [settings.sample.jsonc](settings.sample.jsonc)\nhas every field with its default. Made from the types in `internal/settings`.\n")
	for _, s := range []struct{ typ, title string }{{"Settings", "Daemon"}, {"TLS", "tls"}} {
		fmt.Fprintf(&b, "\n## %s\n\n| field | meaning |\n|---|---|\n", s.title)
		forEachField(f, s.typ, func(name, doc string) { fmt.Fprintf(&b, "| `%s` | %s |\n", name, doc) })
	}
	comparePage(t, "SETTINGS.md", b.String())
}

// forEachField calls visit with the JSON name and the doc comment of every field of a
// struct type.
func forEachField(f *ast.File, typ string, visit func(name, doc string)) {
	ast.Inspect(f, func(n ast.Node) bool {
		ts, ok := n.(*ast.TypeSpec)
		if !ok || ts.Name.Name != typ {
			return true
		}
		for _, field := range ts.Type.(*ast.StructType).Fields.List {
			tag := reflect.StructTag(strings.Trim(field.Tag.Value, "`")).Get("json")
			visit(tag, strings.Join(strings.Fields(field.Doc.Text()), " "))
		}
		return false
	})
}

// Checks that the sample contains every field with its default value.
func TestSampleMatchesDefaults(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", "settings.sample.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	sample, err := settings.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	defaults := settings.Defaults()
	defaults.ID, defaults.Region, defaults.FailureDomain, defaults.ListenAddress, defaults.PeerListenAddress, defaults.Peers, defaults.LogURL, defaults.Pools = sample.ID, sample.Region, sample.FailureDomain, sample.ListenAddress, sample.PeerListenAddress, sample.Peers, sample.LogURL, sample.Pools
	got, _ := json.Marshal(sample)
	want, _ := json.Marshal(defaults)
	if string(got) != string(want) {
		t.Errorf("sample\n%s\ndefaults\n%s", got, want)
	}
	var all map[string]any
	_ = json.Unmarshal(want, &all)
	for field := range all {
		if field != "tls" && !strings.Contains(string(data), `"`+field+`"`) {
			t.Errorf("the sample does not contain %s", field)
		}
	}
	if time.Duration(sample.StreamIdleTimeout) <= 0 {
		t.Error("the sample has no positive value of silence")
	}
}
