package arch_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// standInPackages have clients that are no part of the product.
var standInPackages = []string{"standin", "demo", "enginetest", "feedtest"}

var (
	clientLiterals = regexp.MustCompile(`http\.(Client|Transport)\{`)
	defaultClients = regexp.MustCompile(`http\.(DefaultClient|DefaultTransport|Get|Head|Post|PostForm)\b`)
	// checkedLiterals match the fields of a client with a transport, and of a transport that is checked.
	checkedLiterals = map[string]*regexp.Regexp{
		"http.Client{": regexp.MustCompile(`Transport:`), "http.Transport{": regexp.MustCompile(`DialContext:\s+(checkedconn\.)?Dialer\(`),
	}
)

// findUncheckedClients returns the number of clients and transports of net/http in a source text, and those
// that do not check their connections.
func findUncheckedClients(src string) (clients int, unchecked []string) {
	unchecked = defaultClients.FindAllString(src, -1)
	for _, at := range clientLiterals.FindAllStringIndex(src, -1) {
		fields, _, _ := strings.Cut(src[at[1]:], "}")
		if literal := src[at[0]:at[1]]; !checkedLiterals[literal].MatchString(fields) {
			unchecked = append(unchecked, literal+fields)
		}
		clients++
	}
	return clients, unchecked
}

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
			src, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			found, unchecked := findUncheckedClients(string(src))
			files, clients = files+1, clients+found
			if len(unchecked) > 0 {
				t.Errorf("%s: %q", file, unchecked)
			}
		}
	}
	if files < 100 || clients < 5 {
		t.Fatalf("found only %d clients in %d files", clients, files)
	}
}

func TestFindUncheckedClients(t *testing.T) {
	for src, want := range map[string]int{
		"http.Client{}":                                           1,
		"&http.Client{Transport: t}":                              0,
		"&http.Transport{DialContext: d}":                         1,
		"&http.Transport{DialContext: checkedconn.Dialer(d)}":     0,
		"http.Client{Transport: &http.Transport{DialContext: d}}": 1,
		"http.DefaultClient.Do(r); http.Get(u)":                   2,
	} {
		if _, unchecked := findUncheckedClients(src); len(unchecked) != want {
			t.Errorf("%s: %q", src, unchecked)
		}
	}
}
