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

// apply folds patches given as id, base and body.
func apply(t testing.TB, f *StateMachine, id string, number uint64, patch string) PatchOutcome {
	f.Apply(f.NextOffset(), record(t, id, number, json.RawMessage(patch)))
	o, ok := f.LookupOutcome(id)
	if !ok {
		t.Fatalf("no outcome of %s", id)
	}
	return o
}

func started(t testing.TB) *StateMachine {
	f := NewStateMachine()
	if o := apply(t, f, "base", 0, base); !o.Accepted {
		t.Fatal(o)
	}
	return f
}

func TestInvalidPatchesAreRejectedRecords(t *testing.T) {
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
		f := started(t)
		before := f.Config()
		o := apply(t, f, "bad", 1, patch)
		if o.Accepted || o.Kind != fault.InvalidPatch || !strings.Contains(o.Detail, want) {
			t.Errorf("%s: %+v, want %q", patch, o, want)
		}
		if f.Config() != before {
			t.Errorf("%s changed the configuration", patch)
		}
	}
	f := started(t)
	f.Apply(f.NextOffset(), []byte("{broken"))
	if f.Config().Number != 1 || f.NextOffset() != 2 {
		t.Fatalf("a broken record: number %d, next %d", f.Config().Number, f.NextOffset())
	}
}

// Symptom: a daemon that was away misses one accepted patch for good.
// Sequence: a checkpoint is written by a daemon that has read up to record 2;
// records 3 and 4 reach the log before the checkpoint does; records 0 to 1 age
// out; a fresh daemon starts from what is left.
// Cause: records between a checkpoint's last and its own offset must be folded
// on top of it.
func TestCheckpointKeepsRecordsWrittenBesideIt(t *testing.T) {
	log := [][]byte{
		record(t, "base", 0, json.RawMessage(base)),
		record(t, "a", 1, json.RawMessage(`{"workspaces":{"w":{"priority":1}}}`)),
		record(t, "b", 2, json.RawMessage(`{"workspaces":{"w":{"priority":2}}}`)),
	}
	writer := NewStateMachine()
	for o, r := range log {
		writer.Apply(uint64(o), r)
	}
	mark, _ := json.Marshal(Record{Checkpoint: writer.Checkpoint()})
	log = append(log,
		record(t, "c", 3, json.RawMessage(`{"workspaces":{"w":{"priority":3}}}`)),
		record(t, "d", 3, json.RawMessage(`{"workspaces":{"w":{"priority":4}}}`)),
		mark,
		record(t, "a", 1, json.RawMessage(`{"workspaces":{"w":{"priority":1}}}`)),
		record(t, "e", 4, json.RawMessage(`{"workspaces":{"w":{"priority":5}}}`)))
	all, fresh := NewStateMachine(), NewStateMachine()
	for o, r := range log {
		all.Apply(uint64(o), r)
		if o >= 2 {
			fresh.Apply(uint64(o), r)
		}
	}
	if !fresh.Synced() || fresh.Config().Number != 5 || !reflect.DeepEqual(all.Config(), fresh.Config()) {
		t.Fatalf("fresh: anchored %v, %+v; all: %+v", fresh.Synced(), fresh.Config(), all.Config())
	}
}

// Operators race through daemons that lag behind each other, repeat appends whose
// replies were lost, and write nonsense; the log keeps a limited tail with
// checkpoints by whoever is ahead; daemons start late. Each number is won once,
// no daemon goes back, and all end alike. The naive version is one fold that
// reads every record at once.
func TestRacingOperatorsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep = 12
		truth := NewStateMachine()
		var log [][]byte
		daemons := []*StateMachine{NewStateMachine(), NewStateMachine(), NewStateMachine()}
		add := func(r []byte) {
			truth.Apply(uint64(len(log)), r)
			log = append(log, r)
		}
		read := func(f *StateMachine) {
			before := f.Config().Number
			for o := max(int(f.NextOffset()), len(log)-keep); o < len(log); o++ {
				f.Apply(uint64(o), log[o])
			}
			if f.Config().Number < before {
				t.Fatalf("went from %d to %d", before, f.Config().Number)
			}
		}
		add(record2(t, "base", 0, base))
		won := map[uint64]string{}
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			d := rapid.IntRange(0, 2).Draw(t, "daemon")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				id := fmt.Sprint("p", step)
				patch := fmt.Sprintf(`{"workspaces":{"w":{"priority":%d}}}`, step%10)
				add(record2(t, id, daemons[d].Config().Number, patch))
				if rapid.Bool().Draw(t, "repeat") {
					add(record2(t, id, daemons[d].Config().Number, patch))
				}
			case 3:
				add([]byte("{"))
			case 4:
				add(record2(t, fmt.Sprint("x", step), truth.Config().Number, `{"pools":{"p":null}}`))
			case 5:
				daemons[d] = NewStateMachine()
			default:
				read(daemons[d])
			}
			if len(log)%8 == 0 {
				mark, _ := json.Marshal(Record{Checkpoint: truth.Checkpoint()})
				add(mark)
			}
		}
		for _, o := range truth.History() {
			if !o.Accepted {
				continue
			}
			if other := won[o.Number]; other != "" {
				t.Fatalf("number %d was won by %s and %s", o.Number, other, o.PatchID)
			}
			won[o.Number] = o.PatchID
		}
		mark, _ := json.Marshal(Record{Checkpoint: truth.Checkpoint()})
		add(mark)
		for i, f := range daemons {
			read(f)
			if !f.Synced() || !reflect.DeepEqual(f.Config(), truth.Config()) {
				t.Fatalf("daemon %d: anchored %v at %d, truth at %d", i, f.Synced(), f.Config().Number, truth.Config().Number)
			}
		}
	})
}

func record2(t *rapid.T, id string, number uint64, patch string) []byte {
	data, err := json.Marshal(Record{PatchID: id, Base: number, Patch: json.RawMessage(patch)})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestWithdrawalMovesSessionsToOneSuccessor(t *testing.T) {
	f := started(t)
	apply(t, f, "a", 1, `{"models":{"m":{"stable":"v2","versions":{"v1":{"state":"withdrawn","successor":"v2"},"v2":{"successor":""}}}}}`)
	w := f.Config().Workspaces["w"]
	if v, ok := f.Config().ResolveSuccessor(w, "m", "v1"); !ok || v != "v2" {
		t.Fatalf("successor %q %v", v, ok)
	}
	apply(t, f, "b", 2, `{"models":{"m":{"versions":{"v2":{"state":"withdrawn","successor":"v1"}}}}}`)
	if v, ok := f.Config().ResolveSuccessor(w, "m", "v1"); ok {
		t.Fatalf("a cycle of withdrawn versions led to %q", v)
	}
	if f.Config().MayDispatch("w", "m", "v1") {
		t.Fatal("a withdrawn version may be dispatched")
	}
}

// A rising share only adds sessions to the new version.
func TestRisingShareMovesNobodyBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		session := rapid.String().Draw(t, "session")
		low := rapid.Float64Range(0, 100).Draw(t, "low")
		high := rapid.Float64Range(low, 100).Draw(t, "high")
		if b := Bucket("m", session); b < low && b >= high {
			t.Fatalf("bucket %v", b)
		}
	})
	in := 0
	for i := range 10000 {
		if Bucket("m", fmt.Sprint(i)) < 10 {
			in++
		}
	}
	if in < 900 || in > 1100 {
		t.Fatalf("10%% took %d of 10,000 sessions", in)
	}
}

func TestDiffLeadsToTheWantedConfiguration(t *testing.T) {
	f := started(t)
	wanted := NewConfig()
	if err := json.Unmarshal([]byte(`{"pools":{"q":{"servers":[]}},"models":{"n":{"stable":"v1","versions":{"v1":{"pool":"q","micros_per_1k_tokens":3}}}},"workspaces":{"w":{"key_hashes":[],"models":["n"],"priority":2}}}`), wanted); err != nil {
		t.Fatal(err)
	}
	p, changes, err := Diff(f.Config(), wanted)
	if err != nil || len(changes) != 5 {
		t.Fatalf("%d changes, %v", len(changes), err)
	}
	data, _ := json.Marshal(p)
	if o := apply(t, f, "diff", 1, string(data)); !o.Accepted {
		t.Fatal(o)
	}
	if _, changes, _ := Diff(f.Config(), wanted); len(changes) != 0 {
		t.Fatalf("left over: %+v", changes)
	}
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte(`{"models":{"m":{"versions":{"v1":null}}}}`))
	f.Add([]byte(`{"rollouts":{"m":{"stages":[100],"stage":-1}}}`))
	f.Add([]byte(`{"workspaces":{"w":null},"pools":{"p":{"servers":null}}}`))
	f.Fuzz(func(t *testing.T, patch []byte) {
		fold := started(t)
		raw, err := json.Marshal(Record{PatchID: "fuzz", Base: 1, Patch: patch})
		if err != nil {
			raw = patch
		}
		fold.Apply(1, raw)
		if err := fold.Config().Validate(); err != nil {
			t.Fatalf("an accepted patch left an invalid configuration: %v", err)
		}
	})
}
