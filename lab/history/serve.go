package history

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/invariant"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/session"
)

// call is one request as a daemon serves it.
type call struct {
	d       *node
	id, key string
	session string
	pin     session.Pin
	life    *request.RetryState
	tried   map[int]bool
	text    string
	// waits tells whether the caller is still there.
	waits func() bool
	done  func(answered bool, err *fault.Error, pin session.Pin)
	over  bool
}

func (c *call) finish(answered bool, err *fault.Error) {
	if c.over {
		return
	}
	c.over = true
	if err != nil && c.key != "" && err.ExecutionState() == fault.NotRun {
		c.release()
	}
	c.done(answered, err, c.pin)
}

// serve runs a request at a daemon: claim, choose, check, dispatch, bill.
func (d *node) serve(c *call) {
	c.d = d
	c.life = &request.RetryState{Repeatable: c.key == "", Deadline: d.now().Add(15 * time.Second)}
	c.tried = map[int]bool{}
	d.budget.Deposit()
	switch {
	case !d.sight.CanServe(d.now()):
		c.finish(false, fault.New(fault.ConfigurationStale, ""))
	case d.buffer.Reserve() != nil:
		c.finish(false, fault.New(fault.UsageUnprotected, ""))
	case c.key != "":
		c.claim(d.now().Add(3 * time.Second))
	default:
		c.dispatch()
	}
}

func (c *call) owner() string { return fmt.Sprintf("d%d/%d", c.d.id, c.d.incarnation) }

func (c *call) claimRecord(k request.ClaimRecordKind) []byte {
	data, _ := json.Marshal(request.ClaimRecord{Kind: k, Key: c.key, BodyHash: "b", RequestID: c.id, Owner: c.owner(), UnixSeconds: c.d.now().Unix(), Status: 200, Response: []byte(c.text)})
	return data
}

// claim appends until the log confirms or the time is up, as the daemon does.
func (c *call) claim(until time.Time) {
	c.d.append("claims", c.claimRecord(request.Claimed), func(error) { c.awaitClaim(until) })
}

func (c *call) awaitClaim(until time.Time) {
	d := c.d
	d.w.log.read(d, "claims", int(d.claims.NextOffset()), func(first int, records [][]byte) {
		for i, r := range records {
			var rec request.ClaimRecord
			if json.Unmarshal(r, &rec) == nil {
				d.claims.Apply(uint64(first+i), rec)
			}
		}
	})
	d.after(readEvery/5, func() {
		v := d.claims.Resolve(c.key, "b", c.id)
		known := v.State == request.ClaimReplay || d.claims.Applied(c.id)
		switch {
		case v.State == request.ClaimGranted && known:
			c.dispatch()
		case v.State == request.ClaimReplay:
			d.w.stats.Replayed++
			d.buffer.Release()
			c.finish(false, nil)
		case v.State == request.ClaimInProgress && known:
			d.w.stats.ClaimsLost++
			d.buffer.Release()
			c.finish(false, v.Err())
		case !d.now().Before(until):
			d.buffer.Release()
			c.finish(false, request.ClaimResult{}.Err())
		default:
			c.claim(until)
		}
	})
}

// release voids the claim of a request that is proven not to have run.
func (c *call) release() {
	d := c.d
	d.append("claims", c.claimRecord(request.Abandoned), func(err error) {
		if err != nil {
			d.after(time.Second, c.release)
		}
	})
}

func (c *call) dispatch() {
	d := c.d
	cfg := d.fold.Config()
	w := cfg.Workspaces[workspace]
	version, err := session.ResolveVersion(cfg, w, "m", c.pin)
	if err != nil {
		d.buffer.Release()
		c.finish(false, fault.FromError(err).WithExecution(c.life.ExecutionState()))
		return
	}
	server, ok := c.pick()
	if !ok {
		d.buffer.Release()
		c.finish(false, fault.New(fault.NoServer, "").WithExecution(c.life.ExecutionState()))
		return
	}
	// The last check before the request leaves.
	if !d.fold.Config().MayDispatch(workspace, "m", version) || !d.sight.CanServe(d.now()) {
		d.buffer.Release()
		c.finish(false, fault.New(fault.VersionWithdrawn, "").WithExecution(c.life.ExecutionState()))
		return
	}
	d.w.event(invariant.Event{Kind: invariant.ConfigApplied, Daemon: fmt.Sprintf("d%d/%d", d.id, d.incarnation), ConfigNumber: cfg.Number})
	c.pin = c.pin.WithVersion("m", version)
	c.life.RecordAttempt()
	if c.life.Attempts() > 1 {
		d.w.stats.Retried++
	}
	c.send(server, version)
}

func (c *call) pick() (*engine, bool) {
	first := c.d.w.rng.IntN(engineCount)
	for i := range engineCount {
		e := c.d.w.engines[(first+i)%engineCount]
		if !c.tried[e.id] && !c.d.leaving[e.id] {
			c.tried[e.id] = true
			return e, true
		}
	}
	return nil, false
}

func (c *call) send(e *engine, version string) {
	d := c.d
	asm := request.NewAssembler(fmt.Sprintf("%s-%d", c.id, c.life.Attempts()))
	c.text = ""
	incarnation := d.incarnation
	ev := invariant.Event{
		Request: c.id, IdempotencyKey: c.key, NonRepeatable: c.key != "", Workspace: workspace, Session: c.session,
		Model: "m", Version: version, Allowed: version != "v3",
	}
	e.start(fmt.Sprintf("%s-%d", c.id, c.life.Attempts()), ev,
		func() { d.resume(incarnation, func() { c.after(e, asm, request.AttemptRefused) }) },
		func(r *run) { d.resume(incarnation, func() { c.life.RecordExecution(); c.read(e, r, asm) }) })
}

func (c *call) read(e *engine, r *run, asm *request.Assembler) {
	closed := false
	e.stream(c.d, r, asm.LastOffset(), func(f request.Frame) bool {
		if closed || c.over {
			return false
		}
		switch asm.Accept(f) {
		case request.Deliver:
			c.text += f.Delta
		case request.SequenceGap:
			closed = true
			c.after(e, asm, request.ConnectionLost)
			return false
		}
		if asm.Done() {
			closed = true
			c.bill()
			return false
		}
		return true
	}, func() {
		if !closed && !c.over {
			closed = true
			c.after(e, asm, request.ConnectionLost)
		}
	})
}

func (c *call) after(e *engine, asm *request.Assembler, ev request.AttemptEvent) {
	d := c.d
	dec := c.life.Next(ev, d.now(), d.budget)
	switch dec.Action {
	case request.Resume:
		d.w.stats.Resumed++
		d.after(2*hop, func() {
			id := fmt.Sprintf("%s-%d", c.id, c.life.Attempts())
			if r := e.runs[id]; r != nil {
				c.read(e, r, asm)
				return
			}
			c.after(e, asm, request.RunNotFound)
		})
	case request.Retry:
		c.dispatch()
	default:
		d.buffer.Release()
		c.finish(false, dec.Error)
	}
}

// bill stores the usage record where it survives this daemon, then answers.
func (c *call) bill() {
	d := c.d
	u := billing.UsageRecord{RequestID: c.id, Workspace: workspace, Model: "m", Version: c.pin.Version, Outcome: billing.Complete, CompletionTokens: frames}
	place := d.buffer.Add(u)
	answer := func() {
		if c.key == "" {
			c.answered()
			return
		}
		c.d.append("claims", c.claimRecord(request.Finished), func(error) { c.answered() })
	}
	for _, k := range d.w.daemons {
		if k == d || !d.hears(k) {
			continue
		}
		kRun := k.incarnation
		d.w.clock.After(hop, func() {
			if k.alive && k.incarnation == kRun {
				k.kept[c.id] = copyOf{u, d, d.incarnation, place, d.w.clock.Elapsed()}
				d.after(hop, answer)
				return
			}
			c.awaitLog(place, answer)
		})
		return
	}
	c.awaitLog(place, answer)
}

// awaitLog answers when the log has the bill. When it takes long the end of the
// answer is withheld, and the daemon takes no more requests meanwhile.
func (c *call) awaitLog(place uint64, answer func()) {
	c.d.waiting = append(c.d.waiting, waitingBill{place, answer})
	c.d.after(logWait, func() {
		if !c.d.buffer.Confirmed(place) {
			c.d.buffer.SetUnprotected(true)
		}
	})
	c.d.after(protectTimeout, func() {
		if !c.over {
			c.d.w.stats.Withheld++
			c.finish(false, fault.New(fault.UsageUnprotected, "").WithExecution(fault.Ran))
		}
	})
}

func (c *call) answered() {
	if c.over || !c.waits() {
		return
	}
	c.d.w.event(invariant.Event{
		Kind: invariant.ResponseReceived, Request: c.id, Answer: c.text,
		Workspace: workspace, Session: c.session, Model: "m", Version: c.pin.Version,
	})
	c.finish(true, nil)
}

func (d *node) flush() {
	batch := d.buffer.NextBatch(200)
	if len(batch) == 0 {
		return
	}
	data, _ := json.Marshal(batch)
	d.append("usage", data, func(err error) {
		if err != nil {
			d.buffer.RetryBatch()
			return
		}
		d.buffer.ConfirmBatch()
		d.confirmed()
	})
}

func (d *node) confirmed() {
	rest := d.waiting[:0]
	var due []func()
	for _, b := range d.waiting {
		if d.buffer.Confirmed(b.place) {
			due = append(due, b.do)
		} else {
			rest = append(rest, b)
		}
	}
	d.waiting = rest
	for _, do := range due {
		do()
	}
	for _, k := range d.w.daemons {
		if !d.hears(k) {
			continue
		}
		for id, c := range k.kept {
			if c.owner == d && c.run == d.incarnation && c.place <= d.buffer.LastConfirmed() {
				delete(k.kept, id)
			}
		}
	}
}

// adopt appends the copies whose owner is gone or silent for long.
func (d *node) adopt() {
	var batch []billing.UsageRecord
	for _, id := range slices.Sorted(maps.Keys(d.kept)) {
		c := d.kept[id]
		gone := !c.owner.alive || c.owner.incarnation != c.run
		if gone || d.w.clock.Elapsed()-c.at > adoptAfter {
			batch = append(batch, c.usage)
		}
	}
	if len(batch) == 0 {
		return
	}
	data, _ := json.Marshal(batch)
	d.append("usage", data, func(err error) {
		if err != nil {
			return
		}
		d.w.stats.Adopted += len(batch)
		for _, u := range batch {
			delete(d.kept, u.RequestID)
		}
	})
}
