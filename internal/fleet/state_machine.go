package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Patch changes entities by name. Each value is an RFC 7386 merge patch of the entity;
// null removes it.
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
	// PatchID is chosen by the author. Later records with the same ID are ignored,
	// so that an append whose reply was lost can be repeated.
	PatchID string `json:"patch_id"`
	// Base is the configuration number on which the patch is based.
	Base uint64 `json:"base"`
	// Author is shown in the history.
	Author string `json:"author,omitempty"`
	// Patch is decoded when it is applied, so that a malformed patch is rejected
	// like any other invalid one.
	Patch json.RawMessage `json:"patch,omitempty"`
	// Checkpoint, if set, is the complete state, and the record has no patch.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// Checkpoint is the state after the record at LastOffset. A new one is appended before
// the records that it covers are deleted from the log.
type Checkpoint struct {
	Config *Config `json:"config"`
	// LastOffset is the offset of the last record applied to Config.
	LastOffset uint64 `json:"through"`
	// Recent are the newest patch outcomes, used to detect repeated appends after
	// the checkpoint.
	Recent []PatchOutcome `json:"recent"`
}

// PatchOutcome is the result of applying one patch.
type PatchOutcome struct {
	Offset  uint64 `json:"offset"`
	PatchID string `json:"patch_id"`
	Author  string `json:"author,omitempty"`
	Base    uint64 `json:"base"`
	// Number is the configuration number after the record.
	Number   uint64     `json:"number"`
	Accepted bool       `json:"accepted"`
	Kind     fault.Kind `json:"kind,omitempty"`
	Detail   string     `json:"detail,omitempty"`
	// Changed lists "section/name" of every changed entity.
	Changed []string `json:"touched,omitempty"`
}

// recentOutcomes is the number of outcomes kept for the history and for detecting
// repeated appends. It is a number of records rather than a time, so that all daemons
// keep the same ones.
const recentOutcomes = 1024

// StateMachine builds the configuration by applying records in offset order. It is not
// safe for concurrent use, but the result of Config is.
type StateMachine struct {
	config       *Config
	nextOffset   uint64
	synced       bool
	pending      []pendingRecord
	recent       []PatchOutcome
	indexByPatch map[string]int
	dropped      int
}

// pendingRecord is a record after a gap, kept until a checkpoint covers the gap.
type pendingRecord struct {
	offset uint64
	record Record
}

// NewStateMachine returns a state machine with the empty configuration that expects
// offset 0.
func NewStateMachine() *StateMachine {
	return &StateMachine{config: NewConfig(), synced: true, indexByPatch: map[string]int{}}
}

// Config returns the current configuration, which is immutable.
func (s *StateMachine) Config() *Config { return s.config }

// NextOffset returns the offset of the next record to apply.
func (s *StateMachine) NextOffset() uint64 { return s.nextOffset }

// Synced reports whether Config reflects every record before NextOffset. It is false
// after a gap until a checkpoint covers the gap.
func (s *StateMachine) Synced() bool { return s.synced }

// History returns the newest outcomes, oldest first.
func (s *StateMachine) History() []PatchOutcome {
	return append([]PatchOutcome(nil), s.recent[max(0, len(s.recent)-recentOutcomes):]...)
}

// LookupOutcome returns the outcome of a patch ID if it is among the recent ones.
func (s *StateMachine) LookupOutcome(patchID string) (PatchOutcome, bool) {
	i, ok := s.indexByPatch[patchID]
	if !ok || i < s.dropped+len(s.recent)-recentOutcomes {
		return PatchOutcome{}, false
	}
	return s.recent[i-s.dropped], true
}

// Apply applies the record at an offset. Offsets that were already applied are ignored,
// because a reader that reconnects may deliver them twice. After a gap, as when the log
// was truncated, records stay pending until a checkpoint covers the gap.
func (s *StateMachine) Apply(offset uint64, data []byte) {
	if offset < s.nextOffset {
		return
	}
	if offset > s.nextOffset {
		s.synced = false
	}
	s.nextOffset = offset + 1
	var r Record
	if err := DecodeStrict(data, &r); err != nil {
		r = Record{Patch: data}
	}
	if r.Checkpoint != nil {
		s.restoreCheckpoint(r.Checkpoint)
		return
	}
	if !s.synced {
		s.pending = append(s.pending, pendingRecord{offset, r})
		return
	}
	s.applyRecord(offset, r)
}

func (s *StateMachine) applyRecord(offset uint64, r Record) {
	if _, exists := s.LookupOutcome(r.PatchID); exists && r.PatchID != "" {
		return
	}
	s.addOutcome(s.applyPatch(offset, r))
}

func (s *StateMachine) applyPatch(offset uint64, r Record) PatchOutcome {
	out := PatchOutcome{Offset: offset, PatchID: r.PatchID, Author: r.Author, Base: r.Base, Number: s.config.Number}
	if r.PatchID == "" {
		return reject(out, fault.InvalidPatch, "the record is malformed or has no patch_id")
	}
	if r.Base != s.config.Number {
		return reject(out, fault.BaseStale, fmt.Sprintf("base %d, in force %d", r.Base, s.config.Number))
	}
	next, changed, err := s.config.ApplyPatch(r.Patch)
	if err != nil {
		return reject(out, fault.InvalidPatch, err.Error())
	}
	s.config = next
	out.Accepted, out.Number, out.Changed = true, next.Number, changed
	return out
}

func reject(o PatchOutcome, k fault.Kind, detail string) PatchOutcome {
	o.Kind, o.Detail = k, detail
	return o
}

// restoreCheckpoint loads a checkpoint that covers a gap. A synced state machine ignores
// it, because a checkpoint written by a slow daemon would revert newer patches.
//
// The writer of the checkpoint may not have read the records just before it in the log,
// so pending records after LastOffset are applied on top of it.
func (s *StateMachine) restoreCheckpoint(c *Checkpoint) {
	if s.synced || c.Config == nil || c.Config.Number < s.config.Number {
		return
	}
	if len(s.pending) > 0 && s.pending[0].offset > c.LastOffset+1 || c.Config.Validate() != nil {
		return
	}
	s.loadCheckpoint(c)
	pending := s.pending
	s.pending = nil
	for _, p := range pending {
		if p.offset > c.LastOffset {
			s.applyRecord(p.offset, p.record)
		}
	}
}

func (s *StateMachine) loadCheckpoint(c *Checkpoint) {
	s.config = c.Config.withEmptyMaps()
	s.synced = true
	s.recent, s.indexByPatch, s.dropped = nil, map[string]int{}, 0
	for _, o := range c.Recent {
		s.addOutcome(o)
	}
}

// Checkpoint returns the state, to be appended to the log or sent to a peer.
func (s *StateMachine) Checkpoint() *Checkpoint {
	lastOffset := s.nextOffset
	if lastOffset > 0 {
		lastOffset--
	}
	return &Checkpoint{Config: s.config, LastOffset: lastOffset, Recent: s.History()}
}

// InstallCheckpoint replaces the state with that of a peer if the peer's configuration is
// newer and valid, and reports whether it did. NextOffset is then the offset after the
// peer's last one.
func (s *StateMachine) InstallCheckpoint(c *Checkpoint) bool {
	if c == nil || c.Config == nil || c.Config.Number <= s.config.Number || c.Config.Validate() != nil {
		return false
	}
	s.loadCheckpoint(c)
	s.pending = nil
	s.nextOffset = c.LastOffset + 1
	return true
}

func (s *StateMachine) addOutcome(o PatchOutcome) {
	s.recent = append(s.recent, o)
	if o.PatchID != "" {
		s.indexByPatch[o.PatchID] = s.dropped + len(s.recent) - 1
	}
	if len(s.recent) <= 2*recentOutcomes {
		return
	}
	start := len(s.recent) - recentOutcomes
	for _, old := range s.recent[:start] {
		delete(s.indexByPatch, old.PatchID)
	}
	s.recent = append([]PatchOutcome(nil), s.recent[start:]...)
	s.dropped += start
}

// ApplyPatch returns the configuration after a patch, with the next number, and the
// "section/name" of every changed entity. It does not change c.
func (c *Config) ApplyPatch(raw json.RawMessage) (*Config, []string, error) {
	var p Patch
	if err := DecodeStrict(raw, &p); err != nil {
		return nil, nil, err
	}
	next := *c
	next.Number = c.Number + 1
	var changed []string
	steps := []func() error{
		func() error { return patchSection("pools", p.Pools, &next.Pools, &changed) },
		func() error { return patchSection("models", p.Models, &next.Models, &changed) },
		func() error { return patchSection("cascades", p.Cascades, &next.Cascades, &changed) },
		func() error { return patchSection("services", p.Services, &next.Services, &changed) },
		func() error { return patchSection("rollouts", p.Rollouts, &next.Rollouts, &changed) },
		func() error { return patchSection("workspaces", p.Workspaces, &next.Workspaces, &changed) },
		func() error { return patchSection("evacuations", p.Evacuations, &next.Evacuations, &changed) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, nil, err
		}
	}
	if len(changed) == 0 {
		return nil, nil, fault.New(fault.InvalidPatch, "the patch changes nothing")
	}
	if err := next.validatePatch(c, &p); err != nil {
		return nil, nil, err
	}
	return &next, changed, nil
}

// patchSection applies the patches of one section to a copy of its map.
func patchSection[T any](name string, patches map[string]json.RawMessage, target *map[string]T, changed *[]string) error {
	if len(patches) == 0 {
		return nil
	}
	out := maps.Clone(*target)
	if out == nil {
		out = map[string]T{}
	}
	for _, key := range sortedKeys(patches) {
		raw, path := patches[key], name+"/"+key
		*changed = append(*changed, path)
		if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
			delete(out, key)
			continue
		}
		old, exists := out[key]
		value, err := patchEntity(old, exists, raw)
		if err != nil {
			return fault.NewField(fault.InvalidPatch, path, "%v", err)
		}
		out[key] = value
	}
	*target = out
	return nil
}

func patchEntity[T any](old T, exists bool, raw json.RawMessage) (T, error) {
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

// DecodeStrict decodes JSON and returns an error for unknown fields and trailing data.
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

func (c *Config) withEmptyMaps() *Config {
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
