package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

const base = `{"pools":{"p":{"servers":[]}},"models":{"m":{"stable":"v1","versions":{"v1":{"pool":"p","micros_per_1k_tokens":1},"v2":{"pool":"p","micros_per_1k_tokens":1,"successor":"v1"}}}},"workspaces":{"w":{"key_hashes":[],"models":["m"]}}}`

// apply applies a patch at the next offset and returns its outcome.
func apply(t testing.TB, m *StateMachine, id string, number uint64, patch string) PatchOutcome {
	m.Apply(m.NextOffset(), record(t, id, number, json.RawMessage(patch)))
	o, ok := m.LookupOutcome(id)
	if !ok {
		t.Fatalf("no outcome of %s", id)
	}
	return o
}

func newBaseStateMachine(t testing.TB) *StateMachine {
	m := NewStateMachine()
	if o := apply(t, m, "base", 0, base); !o.Accepted {
		t.Fatal(o)
	}
	return m
}

func TestInvalidPatchesAreRejected(t *testing.T) {
	cases := map[string]string{
		`{"workspaces":{"w":{"models":["none"]}}}`:  `"none" does not exist`,
		`{"models":{"m":null}}`:                     `model "m" does not exist`,
		`{"models":{"m":{"versions":{"v1":null}}}}`: `"v1" does not exist`,
		`{"pools":{"p":null}}`:                      `pool "p" does not exist`,
		`{"pools":{"p":{"servers":[{"id":"a","address":"host:1","failure_domain":"f"}]}}}`:            "not ip:port",
		`{"models":{"m":{"versions":{"v2":{"successor":"v2"}}}}}`:                                     "cannot succeed itself",
		`{"cascades":{"c":{"steps":["m"],"quality_target":0.9}}}`:                                     "at least two",
		`{"cascades":{"m":{"steps":["m","m"],"quality_target":0.9}}}`:                                 "same name",
		`{"rollouts":{"m":{"model":"m","to":"v2","stages":[50,10,100],"stage":0,"state":"running"}}}`: "rise",
		`{"rollouts":{"m":{"model":"m","to":"v9","stages":[100],"stage":0,"state":"running"}}}`:       "does not exist",
		`{"workspaces":{"a b":{"key_hashes":[]}}}`:                                                    "must match",
		`{"workspaces":{"w":{"key_hashes":["xyz"]}}}`:                                                 "64 lower-case hex",
		`{"unknown":{}}`: "unknown field",
		`{}`:             "changes nothing",
		`[]`:             "cannot unmarshal",
	}
	for patch, want := range cases {
		m := newBaseStateMachine(t)
		before := m.Config()
		o := apply(t, m, "bad", 1, patch)
		if o.Accepted || o.Kind != fault.InvalidPatch || !strings.Contains(o.Detail, want) {
			t.Errorf("%s: %+v, want %q", patch, o, want)
		}
		if m.Config() != before {
			t.Errorf("%s changed the configuration", patch)
		}
	}
	m := newBaseStateMachine(t)
	m.Apply(m.NextOffset(), []byte("{broken"))
	if m.Config().Number != 1 || m.NextOffset() != 2 {
		t.Fatalf("malformed record: number %d, next %d", m.Config().Number, m.NextOffset())
	}
}

// Guards against skipping records that were appended after the last record that the writer
// of a checkpoint had read, but before the checkpoint itself.
func TestCheckpointKeepsConcurrentRecords(t *testing.T) {
	log := [][]byte{
		record(t, "base", 0, json.RawMessage(base)),
		record(t, "a", 1, json.RawMessage(`{"workspaces":{"w":{"priority":1}}}`)),
		record(t, "b", 2, json.RawMessage(`{"workspaces":{"w":{"priority":2}}}`)),
	}
	writer := NewStateMachine()
	for o, r := range log {
		writer.Apply(uint64(o), r)
	}
	checkpoint, _ := json.Marshal(Record{Checkpoint: writer.Checkpoint()})
	log = append(log,
		record(t, "c", 3, json.RawMessage(`{"workspaces":{"w":{"priority":3}}}`)),
		record(t, "d", 3, json.RawMessage(`{"workspaces":{"w":{"priority":4}}}`)),
		checkpoint,
		record(t, "a", 1, json.RawMessage(`{"workspaces":{"w":{"priority":1}}}`)),
		record(t, "e", 4, json.RawMessage(`{"workspaces":{"w":{"priority":5}}}`)))
	complete, restored := NewStateMachine(), NewStateMachine()
	for o, r := range log {
		complete.Apply(uint64(o), r)
		if o >= 2 {
			restored.Apply(uint64(o), r)
		}
	}
	if !restored.Synced() || restored.Config().Number != 5 || !reflect.DeepEqual(complete.Config(), restored.Config()) {
		t.Fatalf("restored: synced %v, %+v; complete: %+v", restored.Synced(), restored.Config(), complete.Config())
	}
}

// Concurrent, repeated and invalid patches, log truncation, lag and restarts must not
// assign a number twice, return a daemon to an earlier number or make daemons diverge.
func TestDaemonsConvergeUnderConcurrentPatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep = 12
		reference := NewStateMachine()
		var log [][]byte
		daemons := []*StateMachine{NewStateMachine(), NewStateMachine(), NewStateMachine()}
		appendRecord := func(r []byte) {
			reference.Apply(uint64(len(log)), r)
			log = append(log, r)
		}
		read := func(m *StateMachine) {
			before := m.Config().Number
			for o := max(int(m.NextOffset()), len(log)-keep); o < len(log); o++ {
				m.Apply(uint64(o), log[o])
			}
			if m.Config().Number < before {
				t.Fatalf("number went from %d back to %d", before, m.Config().Number)
			}
		}
		appendRecord(rapidRecord(t, "base", 0, base))
		patchByNumber := map[uint64]string{}
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			d := rapid.IntRange(0, 2).Draw(t, "daemon")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				id := fmt.Sprint("p", step)
				patch := fmt.Sprintf(`{"workspaces":{"w":{"priority":%d}}}`, step%10)
				appendRecord(rapidRecord(t, id, daemons[d].Config().Number, patch))
				if rapid.Bool().Draw(t, "repeat") {
					appendRecord(rapidRecord(t, id, daemons[d].Config().Number, patch))
				}
			case 3:
				appendRecord([]byte("{"))
			case 4:
				appendRecord(rapidRecord(t, fmt.Sprint("x", step), reference.Config().Number, `{"pools":{"p":null}}`))
			case 5:
				daemons[d] = NewStateMachine()
			default:
				read(daemons[d])
			}
			if len(log)%8 == 0 {
				checkpoint, _ := json.Marshal(Record{Checkpoint: reference.Checkpoint()})
				appendRecord(checkpoint)
			}
		}
		for _, o := range reference.History() {
			if !o.Accepted {
				continue
			}
			if other := patchByNumber[o.Number]; other != "" {
				t.Fatalf("number %d was assigned to %s and %s", o.Number, other, o.PatchID)
			}
			patchByNumber[o.Number] = o.PatchID
		}
		checkpoint, _ := json.Marshal(Record{Checkpoint: reference.Checkpoint()})
		appendRecord(checkpoint)
		for i, m := range daemons {
			read(m)
			if !m.Synced() || !reflect.DeepEqual(m.Config(), reference.Config()) {
				t.Fatalf("daemon %d: synced %v at %d, reference at %d", i, m.Synced(), m.Config().Number, reference.Config().Number)
			}
		}
	})
}

func rapidRecord(t *rapid.T, id string, number uint64, patch string) []byte {
	data, err := json.Marshal(Record{PatchID: id, Base: number, Patch: json.RawMessage(patch)})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestWithdrawnVersionResolvesToSuccessor(t *testing.T) {
	m := newBaseStateMachine(t)
	apply(t, m, "a", 1, `{"models":{"m":{"stable":"v2","versions":{"v1":{"state":"withdrawn","successor":"v2"},"v2":{"successor":""}}}}}`)
	w := m.Config().Workspaces["w"]
	if v, ok := m.Config().ResolveSuccessor(w, "m", "v1"); !ok || v != "v2" {
		t.Fatalf("successor %q %v", v, ok)
	}
	apply(t, m, "b", 2, `{"models":{"m":{"versions":{"v2":{"state":"withdrawn","successor":"v1"}}}}}`)
	if v, ok := m.Config().ResolveSuccessor(w, "m", "v1"); ok {
		t.Fatalf("a cycle of withdrawn versions resolved to %q", v)
	}
	if m.Config().MayDispatch("w", "m", "v1") {
		t.Fatal("a withdrawn version may be dispatched")
	}
}

// Raising the percentage of a rollout only adds sessions to the new version.
func TestHigherRolloutPercentageKeepsSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		session := rapid.String().Draw(t, "session")
		low := rapid.Float64Range(0, 100).Draw(t, "low")
		high := rapid.Float64Range(low, 100).Draw(t, "high")
		if b := Bucket("m", session); b < low && b >= high {
			t.Fatalf("bucket %v", b)
		}
	})
	selected := 0
	for i := range 10000 {
		if Bucket("m", fmt.Sprint(i)) < 10 {
			selected++
		}
	}
	if selected < 900 || selected > 1100 {
		t.Fatalf("10%% selected %d of 10,000 sessions", selected)
	}
}

func TestDiffYieldsDesiredConfiguration(t *testing.T) {
	m := newBaseStateMachine(t)
	desired := NewConfig()
	if err := json.Unmarshal([]byte(`{"pools":{"q":{"servers":[]}},"models":{"n":{"stable":"v1","versions":{"v1":{"pool":"q","micros_per_1k_tokens":3}}}},"workspaces":{"w":{"key_hashes":[],"models":["n"],"priority":2}}}`), desired); err != nil {
		t.Fatal(err)
	}
	p, changes, err := Diff(m.Config(), desired)
	if err != nil || len(changes) != 5 {
		t.Fatalf("%d changes, %v", len(changes), err)
	}
	data, _ := json.Marshal(p)
	if o := apply(t, m, "diff", 1, string(data)); !o.Accepted {
		t.Fatal(o)
	}
	if _, changes, _ := Diff(m.Config(), desired); len(changes) != 0 {
		t.Fatalf("remaining changes: %+v", changes)
	}
}

func FuzzApplyPatch(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte(`{"models":{"m":{"versions":{"v1":null}}}}`))
	f.Add([]byte(`{"rollouts":{"m":{"stages":[100],"stage":-1}}}`))
	f.Add([]byte(`{"workspaces":{"w":null},"pools":{"p":{"servers":null}}}`))
	f.Fuzz(func(t *testing.T, patch []byte) {
		machine := newBaseStateMachine(t)
		raw, err := json.Marshal(Record{PatchID: "fuzz", Base: 1, Patch: patch})
		if err != nil {
			raw = patch
		}
		machine.Apply(1, raw)
		if err := machine.Config().Validate(); err != nil {
			t.Fatalf("an accepted patch left an invalid configuration: %v", err)
		}
	})
}
