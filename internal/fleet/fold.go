package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Patch changes named entities. A value is an RFC 7386 merge patch for the
// entity of that name; null removes it.
type Patch struct {
	Workspaces map[string]json.RawMessage `json:"workspaces,omitempty"`
	Pools      map[string]json.RawMessage `json:"pools,omitempty"`
	Models     map[string]json.RawMessage `json:"models,omitempty"`
	Cascades   map[string]json.RawMessage `json:"cascades,omitempty"`
	Rollouts   map[string]json.RawMessage `json:"rollouts,omitempty"`
	Services   map[string]json.RawMessage `json:"services,omitempty"`

	Evacuations map[string]json.RawMessage `json:"evacuations,omitempty"`
}

// Record is one entry of the configuration stream.
type Record struct {
	// PatchID is chosen by the author; the fold ignores its second occurrence,
	// so an append whose reply was lost may be repeated.
	PatchID string `json:"patch_id"`
	// Base is the number the patch was written against.
	Base uint64 `json:"base"`
	// Author is shown by the history.
	Author string `json:"author,omitempty"`
	// Patch is kept raw so that a malformed one is a rejected record and not
	// an undecodable stream.
	Patch json.RawMessage `json:"patch,omitempty"`
	// Checkpoint, when present, carries the whole state; Base is its number.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// Checkpoint is the folded state up to an offset. It is appended again before
// the records it covers age out of the log.
type Checkpoint struct {
	Config *Config `json:"config"`
	// Through is the offset of the last record folded into Config.
	Through uint64 `json:"through"`
	// Recent are the newest patch outcomes, so that a repeated append after a
	// checkpoint is still recognised.
	Recent []PatchOutcome `json:"recent"`
}

// PatchOutcome says what the fold did with one patch.
type PatchOutcome struct {
	Offset  uint64 `json:"offset"`
	PatchID string `json:"patch_id"`
	Author  string `json:"author,omitempty"`
	Base    uint64 `json:"base"`
	// Number is the number in force after the record.
	Number   uint64     `json:"number"`
	Accepted bool       `json:"accepted"`
	Kind     fault.Kind `json:"kind,omitempty"`
	Detail   string     `json:"detail,omitempty"`
	// Changed lists "section/name" of every changed entity.
	Changed []string `json:"touched,omitempty"`
}

// recentOutcomes is how many outcomes the fold remembers: the history shown to
// operators and the window in which a repeated append of one patch is
// recognised. It is counted in records, so that all daemons forget alike.
const recentOutcomes = 1024

// StateMachine applies records in offset order. It is not safe for concurrent use;
// Config returns a snapshot that is.
type StateMachine struct {
	config   *Config
	next     uint64
	anchored bool
	pending  []pendingRecord
	recent   []PatchOutcome
	byPatch  map[string]int
	dropped  int
}

// pendingRecord waits for a checkpoint that says what came before it.
type pendingRecord struct {
	offset uint64
	record Record
}

// NewStateMachine returns a fold at configuration 0, expecting offset 0.
func NewStateMachine() *StateMachine {
	return &StateMachine{config: NewConfig(), anchored: true, byPatch: map[string]int{}}
}

// Config returns the configuration in force. The result never changes.
func (f *StateMachine) Config() *Config { return f.config }

// NextOffset returns the offset of the next record to fold.
func (f *StateMachine) NextOffset() uint64 { return f.next }

// Synced reports whether every record up to Next is reflected in Config.
// It is false after a gap until a checkpoint covers the gap.
func (f *StateMachine) Synced() bool { return f.anchored }

// History returns the newest outcomes, oldest first.
func (f *StateMachine) History() []PatchOutcome {
	return append([]PatchOutcome(nil), f.recent[max(0, len(f.recent)-recentOutcomes):]...)
}

// LookupOutcome finds the outcome of a patch id among the remembered ones.
func (f *StateMachine) LookupOutcome(patchID string) (PatchOutcome, bool) {
	i, ok := f.byPatch[patchID]
	if !ok || i < f.dropped+len(f.recent)-recentOutcomes {
		return PatchOutcome{}, false
	}
	return f.recent[i-f.dropped], true
}

// Apply folds the record at an offset. An offset that was folded already is
// ignored, because a reader that reconnects may deliver it twice. An offset
// beyond the next one means that records aged out of the log unread: the fold
// then keeps its number and holds records back until a checkpoint explains the
// gap, since folding past it would silently skip accepted patches.
func (f *StateMachine) Apply(offset uint64, data []byte) {
	if offset < f.next {
		return
	}
	if offset > f.next {
		f.anchored = false
	}
	f.next = offset + 1
	var r Record
	if err := DecodeStrict(data, &r); err != nil {
		r = Record{Patch: data}
	}
	if r.Checkpoint != nil {
		f.restore(r.Checkpoint)
		return
	}
	if !f.anchored {
		f.pending = append(f.pending, pendingRecord{offset, r})
		return
	}
	f.fold(offset, r)
}

func (f *StateMachine) fold(offset uint64, r Record) {
	if _, seen := f.LookupOutcome(r.PatchID); seen && r.PatchID != "" {
		return
	}
	f.remember(f.patch(offset, r))
}

func (f *StateMachine) patch(offset uint64, r Record) PatchOutcome {
	out := PatchOutcome{Offset: offset, PatchID: r.PatchID, Author: r.Author, Base: r.Base, Number: f.config.Number}
	if r.PatchID == "" {
		return reject(out, fault.InvalidPatch, "the record is malformed or has no patch_id")
	}
	if r.Base != f.config.Number {
		return reject(out, fault.BaseStale, fmt.Sprintf("base %d, in force %d", r.Base, f.config.Number))
	}
	next, touched, err := f.config.ApplyPatch(r.Patch)
	if err != nil {
		return reject(out, fault.InvalidPatch, err.Error())
	}
	f.config = next
	out.Accepted, out.Number, out.Changed = true, next.Number, touched
	return out
}

func reject(o PatchOutcome, k fault.Kind, detail string) PatchOutcome {
	o.Kind, o.Detail = k, detail
	return o
}

// restore closes a gap with a checkpoint. An anchored fold needs none, and
// adopting one written by a slow daemon would revert newer patches.
//
// The checkpoint's writer may not have seen the records just before it in the
// log, so those after Through are folded again on top of it; a daemon that
// skipped them would lack an accepted patch for good.
func (f *StateMachine) restore(c *Checkpoint) {
	if f.anchored || c.Config == nil || c.Config.Number < f.config.Number {
		return
	}
	if len(f.pending) > 0 && f.pending[0].offset > c.Through+1 || c.Config.Validate() != nil {
		return
	}
	f.adopt(c)
	waiting := f.pending
	f.pending = nil
	for _, p := range waiting {
		if p.offset > c.Through {
			f.fold(p.offset, p.record)
		}
	}
}

func (f *StateMachine) adopt(c *Checkpoint) {
	f.config = c.Config.normalized()
	f.anchored = true
	f.recent, f.byPatch, f.dropped = nil, map[string]int{}, 0
	for _, o := range c.Recent {
		f.remember(o)
	}
}

// Checkpoint returns the state for appending or for handing to a peer.
func (f *StateMachine) Checkpoint() *Checkpoint {
	through := f.next
	if through > 0 {
		through--
	}
	return &Checkpoint{Config: f.config, Through: through, Recent: f.History()}
}

// InstallCheckpoint takes a peer's state when it is ahead and reports whether it did. The
// next record to fold is then the one after the peer's last.
func (f *StateMachine) InstallCheckpoint(c *Checkpoint) bool {
	if c == nil || c.Config == nil || c.Config.Number <= f.config.Number || c.Config.Validate() != nil {
		return false
	}
	f.adopt(c)
	f.pending = nil
	f.next = c.Through + 1
	return true
}

func (f *StateMachine) remember(o PatchOutcome) {
	f.recent = append(f.recent, o)
	if o.PatchID != "" {
		f.byPatch[o.PatchID] = f.dropped + len(f.recent) - 1
	}
	if len(f.recent) <= 2*recentOutcomes {
		return
	}
	cut := len(f.recent) - recentOutcomes
	for _, old := range f.recent[:cut] {
		delete(f.byPatch, old.PatchID)
	}
	f.recent = append([]PatchOutcome(nil), f.recent[cut:]...)
	f.dropped += cut
}

// ApplyPatch returns the configuration that a patch leads to, with the next number
// and the names of the entities it changed. c is left as it is.
func (c *Config) ApplyPatch(raw json.RawMessage) (*Config, []string, error) {
	var p Patch
	if err := DecodeStrict(raw, &p); err != nil {
		return nil, nil, err
	}
	next := *c
	next.Number = c.Number + 1
	var touched []string
	steps := []func() error{
		func() error { return section("pools", p.Pools, &next.Pools, &touched) },
		func() error { return section("models", p.Models, &next.Models, &touched) },
		func() error { return section("cascades", p.Cascades, &next.Cascades, &touched) },
		func() error { return section("services", p.Services, &next.Services, &touched) },
		func() error { return section("rollouts", p.Rollouts, &next.Rollouts, &touched) },
		func() error { return section("workspaces", p.Workspaces, &next.Workspaces, &touched) },
		func() error { return section("evacuations", p.Evacuations, &next.Evacuations, &touched) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, nil, err
		}
	}
	if len(touched) == 0 {
		return nil, nil, fault.New(fault.InvalidPatch, "the patch changes nothing")
	}
	if err := next.validatePatch(c, &p); err != nil {
		return nil, nil, err
	}
	return &next, touched, nil
}

// section merges the patches of one section into a copy of its map.
func section[T any](name string, patches map[string]json.RawMessage, target *map[string]T, touched *[]string) error {
	if len(patches) == 0 {
		return nil
	}
	out := maps.Clone(*target)
	if out == nil {
		out = map[string]T{}
	}
	for key, raw := range patches {
		path := name + "/" + key
		*touched = append(*touched, path)
		if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
			delete(out, key)
			continue
		}
		old, exists := out[key]
		value, err := merge(old, exists, raw)
		if err != nil {
			return fault.NewField(fault.InvalidPatch, path, "%v", err)
		}
		out[key] = value
	}
	*target = out
	return nil
}

func merge[T any](old T, exists bool, raw json.RawMessage) (T, error) {
	var value T
	doc := []byte("{}")
	if exists {
		var err error
		if doc, err = json.Marshal(old); err != nil {
			return value, err
		}
	}
	merged, err := jsonpatch.MergePatch(doc, raw)
	if err != nil {
		return value, err
	}
	err = DecodeStrict(merged, &value)
	return value, err
}

// DecodeStrict decodes JSON and refuses unknown fields and trailing data.
func DecodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return fmt.Errorf("trailing data after the JSON value")
	}
	return nil
}

func (c *Config) normalized() *Config {
	n := *c
	e := NewConfig()
	if n.Workspaces == nil {
		n.Workspaces = e.Workspaces
	}
	if n.Pools == nil {
		n.Pools = e.Pools
	}
	if n.Models == nil {
		n.Models = e.Models
	}
	if n.Cascades == nil {
		n.Cascades = e.Cascades
	}
	if n.Rollouts == nil {
		n.Rollouts = e.Rollouts
	}
	if n.Services == nil {
		n.Services = e.Services
	}
	if n.Evacuations == nil {
		n.Evacuations = e.Evacuations
	}
	return &n
}
