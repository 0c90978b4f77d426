package route

import (
	"strings"
	"testing"
)

func testTable(t *testing.T) *Table {
	t.Helper()
	one := []Backend{{Service: "s", Weight: 1}}
	table, err := NewTable(Document{
		Version: 3, KeyRequired: true, Keys: map[string]Workspace{"k": {Name: "w"}}, Services: []Service{{Name: "s"}, {Name: "t"}},
		Routes: []Route{
			{Name: "short", Host: "h.example", PathPrefix: "/a/", Backends: one},
			{Name: "long", Host: "H.example", PathPrefix: "/a/b/", Backends: []Backend{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
			{Name: "other", Host: "o.example", PathPrefix: "/", Backends: one},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := testTable(t)
	for _, tt := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"}, {"h.example", "/a/b/x", "long"}, {"h.example:80", "/a/b/", "long"},
		{"H.EXAMPLE", "/a/", "short"}, {"h.example", "/a", ""}, {"h.example", "/ab/", ""}, {"none", "/a/", ""},
		{"o.example", "/anything", "other"},
	} {
		got := ""
		if r := table.Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s: %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestServicesShareByWeight(t *testing.T) {
	r := testTable(t).Match("h.example", "/a/b/")
	got := map[string]int{}
	for draw := range uint64(1000) {
		got[r.SelectService(draw)]++
	}
	if got["s"] != 900 || got["t"] != 100 {
		t.Errorf("got %v", got)
	}
}

func TestBadDocumentsAreRefusedWithTheirPart(t *testing.T) {
	one := []Backend{{Service: "s", Weight: 1}}
	for want, d := range map[string]Document{
		"does not begin and end":  {Services: []Service{{Name: "s"}}, Routes: []Route{{Name: "r", PathPrefix: "a/", Backends: one}}},
		"unknown service":         {Routes: []Route{{Name: "r", PathPrefix: "/a/", Backends: one}}},
		"no service":              {Routes: []Route{{Name: "r", PathPrefix: "/a/"}}},
		"a service has no name":   {Services: []Service{{}}},
		"has the negative weight": {Services: []Service{{Name: "s"}}, Routes: []Route{{Name: "r", PathPrefix: "/a/", Backends: []Backend{{Service: "s", Weight: -1}}}}},
	} {
		if _, err := NewTable(d); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

func TestWhatMayRunAgain(t *testing.T) {
	for _, tt := range []struct {
		r    Route
		want bool
	}{
		{Route{Kind: NonIdempotent}, false}, {Route{Kind: Idempotent}, true},
		{Route{Kind: Stream}, false}, {Route{Kind: Stream, Resumable: true}, true}, {Route{Kind: NonIdempotent, Resumable: true}, false},
	} {
		if tt.r.Repeatable() != tt.want {
			t.Errorf("%+v: %t", tt.r, tt.r.Repeatable())
		}
	}
}
