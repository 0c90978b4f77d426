package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
)

// largePatch returns a patch that adds many pools, models and workspaces.
func largePatch(tb testing.TB) json.RawMessage {
	pools, models, workspaces := map[string]Pool{}, map[string]Model{}, map[string]Workspace{}
	var names []string
	for p := range 20 {
		var pool Pool
		for s := range 80 {
			pool.Servers = append(pool.Servers, Server{ID: fmt.Sprintf("p%d-s%d", p, s), Address: fmt.Sprintf("10.0.%d.%d:80", p, s), FailureDomain: fmt.Sprint("fd", s%5)})
		}
		pools[fmt.Sprint("p", p)] = pool
	}
	for m := range 11 {
		name := fmt.Sprint("m", m)
		names = append(names, name)
		model := Model{Stable: "v0", Versions: map[string]Version{}}
		for v := range 3 {
			model.Versions[fmt.Sprint("v", v)] = Version{Pool: fmt.Sprint("p", m), MicrosPerKiloToken: 10}
		}
		models[name] = model
	}
	for w := range 200 {
		workspaces[fmt.Sprint("w", w)] = Workspace{KeyHashes: []string{HashAPIKey(fmt.Sprint(w))}, Models: names}
	}
	data, err := json.Marshal(map[string]any{"pools": pools, "models": models, "workspaces": workspaces})
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

func record(tb testing.TB, id string, base uint64, patch json.RawMessage) []byte {
	data, err := json.Marshal(Record{PatchID: id, Base: base, Patch: patch})
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// BenchmarkApply applies many small patches to a large configuration.
func BenchmarkApply(b *testing.B) {
	records := [][]byte{record(b, "first", 0, largePatch(b))}
	for i := range 3400 {
		var patch string
		switch i % 3 {
		case 0:
			patch = fmt.Sprintf(`{"workspaces":{"w%d":{"priority":%d}}}`, i%200, i%9)
		case 1:
			patch = fmt.Sprintf(`{"workspaces":{"w%d":{"tokens_per_minute":%d}}}`, i%200, i)
		default:
			patch = fmt.Sprintf(`{"models":{"m%d":{"versions":{"v1":{"micros_per_1k_tokens":%d}}}}}`, i%11, i)
		}
		records = append(records, record(b, fmt.Sprint("p", i), uint64(i+1), json.RawMessage(patch)))
	}
	b.ReportAllocs()
	for b.Loop() {
		m := NewStateMachine()
		for o, r := range records {
			m.Apply(uint64(o), r)
		}
		if m.Config().Number != 3401 {
			b.Fatalf("number %d, last %+v", m.Config().Number, m.History()[len(m.History())-1])
		}
	}
}

// BenchmarkSelectVersion selects a version and checks the entitlement to it.
func BenchmarkSelectVersion(b *testing.B) {
	c, _, err := NewConfig().ApplyPatch(largePatch(b))
	if err != nil {
		b.Fatal(err)
	}
	w := c.Workspaces["w7"]
	b.ReportAllocs()
	for b.Loop() {
		if v, ok := c.SelectVersion(w, "m3", "session-1"); !ok || !c.MayDispatch("w7", "m3", v) {
			b.Fatal("no version")
		}
	}
}
