package fleet

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// references is base with entities that refer to versions and models.
const references = `{"pools":{"p":{"servers":[]},"q":{"servers":[]}},"models":{
	"m":{"stable":"v1","versions":{"v1":{"pool":"p","micros_per_1k_tokens":1},"v2":{"pool":"p","micros_per_1k_tokens":1}}},
	"n":{"stable":"v1","versions":{"v1":{"pool":"q","micros_per_1k_tokens":1}}}},
	"cascades":{"c":{"steps":["m","n"],"quality_target":0.9}},
	"rollouts":{"m":{"model":"m","to":"v2","stages":[100],"stage":0,"state":"running"}},
	"workspaces":{"w":{"key_hashes":[],"models":["m@v2"],"cascades":["c"]}}}`

// Guards against accepted patches whose configuration is invalid as a whole, so that daemons which
// load it from a checkpoint ignore it.
func TestPatchesThatBreakReferencesAreRejected(t *testing.T) {
	for name, patch := range map[string]string{
		"version replaced":           `{"models":{"m":{"versions":{"v2":null,"v3":{"pool":"p","micros_per_1k_tokens":1}}}}}`,
		"model named like a cascade": `{"models":{"c":{"stable":"v1","versions":{"v1":{"pool":"p","micros_per_1k_tokens":1}}}}}`,
		"model replaced":             `{"models":{"n":null,"o":{"stable":"v1","versions":{"v1":{"pool":"p","micros_per_1k_tokens":1}}}}}`,
		"pool replaced":              `{"pools":{"q":null,"r":{"servers":[]}}}`,
		"cascade replaced":           `{"cascades":{"c":null,"d":{"steps":["m","n"],"quality_target":0.9}}}`,
	} {
		m := NewStateMachine()
		apply(t, m, "base", 0, references)
		if o := apply(t, m, "bad", 1, patch); o.Accepted {
			t.Errorf("%s: accepted; valid as a whole: %v", name, m.Config().Validate())
		}
	}
}

// Guards against error texts and lists of changes that differ between daemons, since the order of a
// map's keys does.
func TestOutcomesDoNotDependOnMapOrder(t *testing.T) {
	const repeats = 50
	for name, patch := range map[string]string{
		"several entities cannot be decoded": `{"pools":{"a":1,"b":2,"c":3,"d":4}}`,
		"several versions are invalid":       `{"models":{"m":{"versions":{"v3":{"pool":"x"},"v4":{"pool":"y"},"v5":{"pool":"z"}}}}}`,
		"several entities change":            `{"pools":{"a":{"servers":[]},"b":{"servers":[]},"c":{"servers":[]}}}`,
	} {
		var first []byte
		for range repeats {
			m := NewStateMachine()
			apply(t, m, "base", 0, references)
			outcome, _ := json.Marshal(apply(t, m, "next", 1, patch))
			if first == nil {
				first = outcome
			}
			if string(outcome) != string(first) {
				t.Errorf("%s: %s and %s", name, first, outcome)
				break
			}
		}
	}
}

// drawPatch draws a patch that adds, changes or removes entities and versions of few names.
func drawPatch(t *rapid.T) string {
	version := rapid.SampledFrom([]string{"v1", "v2", "v3"})
	versionValue := rapid.SampledFrom([]string{"null", `{"pool":"p"}`, `{"pool":"q","successor":"v1"}`, `{"pool":"x"}`})
	model := rapid.SampledFrom([]string{"m", "n", "c"})
	one, two := version.Draw(t, "one"), version.Draw(t, "two")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return fmt.Sprintf(`{"models":{%q:{"stable":%q,"versions":{%q:%s}}}}`, model.Draw(t, "model"), one, one, versionValue.Draw(t, "value"))
	case 1:
		return fmt.Sprintf(`{"models":{%q:{"versions":{%q:%s,%q:%s}}}}`, model.Draw(t, "model"), one, versionValue.Draw(t, "value"), two+"x", versionValue.Draw(t, "other"))
	case 2:
		return fmt.Sprintf(`{"models":{%q:null,%q:{"stable":"v1","versions":{"v1":{"pool":"p"}}}}}`, model.Draw(t, "model"), model.Draw(t, "other"))
	case 3:
		return fmt.Sprintf(`{"rollouts":{"m":{"model":"m","to":%q,"stages":[100],"stage":0,"state":"running"}}}`, one)
	case 4:
		return fmt.Sprintf(`{"cascades":{%q:%s}}`, model.Draw(t, "model"), rapid.SampledFrom([]string{"null", `{"steps":["m","n"],"quality_target":0.9}`}).Draw(t, "value"))
	}
	return fmt.Sprintf(`{"pools":{%q:%s},"workspaces":{"w":{"models":["m@%s"]}}}`, rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"), rapid.SampledFrom([]string{"null", `{"servers":[]}`}).Draw(t, "value"), one)
}

// Guards against daemons that accept other records than those which read a part of them from a
// checkpoint, and against accepted configurations that are invalid as a whole.
func TestFoldIsTheSameForEverySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := [][]byte{rapidRecord(t, "base", 0, references)}
		complete := NewStateMachine()
		complete.Apply(0, records[0])
		checkpoints := []*Checkpoint{complete.Checkpoint()}
		for i := range rapid.IntRange(1, 20).Draw(t, "records") {
			records = append(records, rapidRecord(t, fmt.Sprint("p", i), complete.Config().Number, drawPatch(t)))
			complete.Apply(uint64(i+1), records[i+1])
			if err := complete.Config().Validate(); err != nil {
				t.Fatalf("accepted %s: %v", records[i+1], err)
			}
			checkpoints = append(checkpoints, complete.Checkpoint())
		}
		want, _ := json.Marshal(complete.Checkpoint())
		for split, checkpoint := range checkpoints {
			data, _ := json.Marshal(Record{Checkpoint: checkpoint})
			restored := NewStateMachine()
			restored.Apply(uint64(split+1), data)
			for i, r := range records[split+1:] {
				restored.Apply(uint64(split+2+i), r)
			}
			if got, _ := json.Marshal(restored.Checkpoint()); !sameState(got, want) {
				t.Fatalf("checkpoint after %d of %d records:\n%s\nwant\n%s", split, len(records), got, want)
			}
		}
	})
}

// sameState reports whether two checkpoints hold the same configuration and the same outcomes, but
// for their offsets.
func sameState(a, b []byte) bool {
	strip := func(data []byte) string {
		var c Checkpoint
		_ = json.Unmarshal(data, &c) // written by the test
		for i := range c.Recent {
			c.Recent[i].Offset = 0
		}
		c.LastOffset = 0
		out, _ := json.Marshal(c)
		return string(out)
	}
	return strip(a) == strip(b)
}
