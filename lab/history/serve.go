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

// call is the state of one request at a daemon.
type call struct {
	daemon  *daemon
	id, key string
	session string
	pin     session.Pin
	retry   *request.RetryState
	tried   map[int]bool
	text    string
	// connected reports whether the client still waits for the response.
	connected func() bool
	done      func(answered bool, err *fault.Error, pin session.Pin)
	finished  bool
}

func (c *call) finish(answered bool, err *fault.Error) {
	if c.finished {
		return
	}
	c.finished = true
	if err != nil && c.key != "" && err.ExecutionState() == fault.NotRun {
		c.abandonClaim()
	}
	c.done(answered, err, c.pin)
}

// serve handles a request: it claims the idempotency key, if any, and dispatches the request.
func (d *daemon) serve(c *call) {
	c.daemon = d
	c.retry = &request.RetryState{Repeatable: c.key == "", Deadline: d.now().Add(15 * time.Second)}
	c.tried = map[int]bool{}
	d.budget.Deposit()
	switch {
	case !d.readiness.CanServe(d.now()):
		c.finish(false, fault.New(fault.ConfigurationStale, ""))
	case d.usage.Reserve() != nil:
		c.finish(false, fault.New(fault.UsageUnprotected, ""))
	case c.key != "":
		c.claim(d.now().Add(3 * time.Second))
	default:
		c.dispatch()
	}
}

func (c *call) owner() string { return fmt.Sprintf("d%d/%d", c.daemon.id, c.daemon.incarnation) }

func (c *call) claimRecord(k request.ClaimRecordKind) []byte {
	data, _ := json.Marshal(request.ClaimRecord{Kind: k, Key: c.key, BodyHash: "b", RequestID: c.id, Owner: c.owner(), UnixSeconds: c.daemon.now().Unix(), Status: 200, Response: []byte(c.text)})
	return data
}

// claim appends a claim record, repeatedly until the log shows a result or the deadline
// passes.
func (c *call) claim(deadline time.Time) {
	c.daemon.append("claims", c.claimRecord(request.Claimed), func(error) { c.awaitClaim(deadline) })
}

// awaitClaim reads the claims and continues depending on the state of the key.
func (c *call) awaitClaim(deadline time.Time) {
	d := c.daemon
	d.sim.log.read(d, "claims", int(d.claims.NextOffset()), func(first int, records [][]byte) {
		for i, r := range records {
			var rec request.ClaimRecord
			if json.Unmarshal(r, &rec) == nil {
				d.claims.Apply(uint64(first+i), rec)
			}
		}
	})
	d.after(readInterval/5, func() {
		result := d.claims.Resolve(c.key, "b", c.id)
		applied := result.State == request.ClaimReplay || d.claims.Applied(c.id)
		switch {
		case result.State == request.ClaimGranted && applied:
			c.dispatch()
		case result.State == request.ClaimReplay:
			d.sim.stats.Replayed++
			d.usage.Release()
			c.finish(false, nil)
		case result.State == request.ClaimInProgress && applied:
			d.sim.stats.ClaimsLost++
			d.usage.Release()
			c.finish(false, result.Err())
		case !d.now().Before(deadline):
			d.usage.Release()
			c.finish(false, request.ClaimResult{}.Err())
		default:
			c.claim(deadline)
		}
	})
}

// abandonClaim releases the claim of a request that did not run. It retries until the
// append succeeds.
func (c *call) abandonClaim() {
	d := c.daemon
	d.append("claims", c.claimRecord(request.Abandoned), func(err error) {
		if err != nil {
			d.after(time.Second, c.abandonClaim)
		}
	})
}

// dispatch resolves the model version, picks an engine and sends the request to it.
func (c *call) dispatch() {
	d := c.daemon
	cfg := d.state.Config()
	ws := cfg.Workspaces[workspace]
	version, err := session.ResolveVersion(cfg, ws, "m", c.pin)
	if err != nil {
		d.usage.Release()
		c.finish(false, fault.FromError(err).WithExecution(c.retry.ExecutionState()))
		return
	}
	server, ok := c.pickEngine()
	if !ok {
		d.usage.Release()
		c.finish(false, fault.New(fault.NoServer, "").WithExecution(c.retry.ExecutionState()))
		return
	}
	// Checked again right before sending, since the configuration may have changed.
	if !d.state.Config().MayDispatch(workspace, "m", version) || !d.readiness.CanServe(d.now()) {
		d.usage.Release()
		c.finish(false, fault.New(fault.VersionWithdrawn, "").WithExecution(c.retry.ExecutionState()))
		return
	}
	d.sim.recordEvent(invariant.Event{Kind: invariant.ConfigApplied, Daemon: fmt.Sprintf("d%d/%d", d.id, d.incarnation), ConfigNumber: cfg.Number})
	c.pin = c.pin.WithVersion("m", version)
	c.retry.RecordAttempt()
	if c.retry.Attempts() > 1 {
		d.sim.stats.Retried++
	}
	c.send(server, version)
}

// pickEngine returns a random engine that was not tried and is not leaving.
func (c *call) pickEngine() (*engine, bool) {
	first := c.daemon.sim.rng.IntN(engineCount)
	for i := range engineCount {
		e := c.daemon.sim.engines[(first+i)%engineCount]
		if !c.tried[e.id] && !c.daemon.leaving[e.id] {
			c.tried[e.id] = true
			return e, true
		}
	}
	return nil, false
}

func (c *call) send(e *engine, version string) {
	d := c.daemon
	assembler := request.NewAssembler(fmt.Sprintf("%s-%d", c.id, c.retry.Attempts()))
	c.text = ""
	incarnation := d.incarnation
	ev := invariant.Event{
		Request: c.id, IdempotencyKey: c.key, NonRepeatable: c.key != "", Workspace: workspace, Session: c.session,
		Model: "m", Version: version, Allowed: version != "v3",
	}
	e.start(fmt.Sprintf("%s-%d", c.id, c.retry.Attempts()), ev,
		func() { d.runIfAlive(incarnation, func() { c.handleEvent(e, assembler, request.AttemptRefused) }) },
		func(r *run) { d.runIfAlive(incarnation, func() { c.retry.RecordExecution(); c.read(e, r, assembler) }) })
}

// read receives the frames of a run and bills the request when it is complete.
func (c *call) read(e *engine, r *run, assembler *request.Assembler) {
	closed := false
	e.stream(c.daemon, r, assembler.LastOffset(), func(f request.Frame) bool {
		if closed || c.finished {
			return false
		}
		switch assembler.Accept(f) {
		case request.Deliver:
			c.text += f.Delta
		case request.SequenceGap:
			closed = true
			c.handleEvent(e, assembler, request.ConnectionLost)
			return false
		}
		if assembler.Done() {
			closed = true
			c.bill()
			return false
		}
		return true
	}, func() {
		if !closed && !c.finished {
			closed = true
			c.handleEvent(e, assembler, request.ConnectionLost)
		}
	})
}

// handleEvent resumes, retries or fails the request after an attempt has failed.
func (c *call) handleEvent(e *engine, assembler *request.Assembler, ev request.AttemptEvent) {
	d := c.daemon
	decision := c.retry.Next(ev, d.now(), d.budget)
	switch decision.Action {
	case request.Resume:
		d.sim.stats.Resumed++
		d.after(2*networkDelay, func() {
			id := fmt.Sprintf("%s-%d", c.id, c.retry.Attempts())
			if r := e.runs[id]; r != nil {
				c.read(e, r, assembler)
				return
			}
			c.handleEvent(e, assembler, request.RunNotFound)
		})
	case request.Retry:
		c.dispatch()
	default:
		d.usage.Release()
		c.finish(false, decision.Error)
	}
}

// bill replicates the usage record to a peer, or waits for the log, and then answers.
func (c *call) bill() {
	d := c.daemon
	record := billing.UsageRecord{RequestID: c.id, Workspace: workspace, Model: "m", Version: c.pin.Version, Outcome: billing.Complete, CompletionTokens: framesPerRun}
	position := d.usage.Add(record)
	answer := func() {
		if c.key == "" {
			c.sendAnswer()
			return
		}
		c.daemon.append("claims", c.claimRecord(request.Finished), func(error) { c.sendAnswer() })
	}
	for _, peer := range d.sim.daemons {
		if peer == d || !d.canReach(peer) {
			continue
		}
		peerIncarnation := peer.incarnation
		d.sim.clock.After(networkDelay, func() {
			if peer.alive && peer.incarnation == peerIncarnation {
				peer.replicas[c.id] = usageReplica{record, d, d.incarnation, position, d.sim.clock.Elapsed()}
				d.after(networkDelay, answer)
				return
			}
			c.awaitConfirmation(position, answer)
		})
		return
	}
	c.awaitConfirmation(position, answer)
}

// awaitConfirmation calls answer once the log has confirmed the usage record at position.
// After unprotectedDelay the daemon refuses new requests, and after protectTimeout this
// request fails.
func (c *call) awaitConfirmation(position uint64, answer func()) {
	c.daemon.pending = append(c.daemon.pending, pendingAnswer{position, answer})
	c.daemon.after(unprotectedDelay, func() {
		if !c.daemon.usage.Confirmed(position) {
			c.daemon.usage.SetUnprotected(true)
		}
	})
	c.daemon.after(protectTimeout, func() {
		if !c.finished {
			c.daemon.sim.stats.Withheld++
			c.finish(false, fault.New(fault.UsageUnprotected, "").WithExecution(fault.Ran))
		}
	})
}

func (c *call) sendAnswer() {
	if c.finished || !c.connected() {
		return
	}
	c.daemon.sim.recordEvent(invariant.Event{
		Kind: invariant.ResponseReceived, Request: c.id, Answer: c.text,
		Workspace: workspace, Session: c.session, Model: "m", Version: c.pin.Version,
	})
	c.finish(true, nil)
}

// flushUsage appends the next batch of usage records to the log.
func (d *daemon) flushUsage() {
	batch := d.usage.NextBatch(200)
	if len(batch) == 0 {
		return
	}
	data, _ := json.Marshal(batch)
	d.append("usage", data, func(err error) {
		if err != nil {
			d.usage.RetryBatch()
			return
		}
		d.usage.ConfirmBatch()
		d.releaseConfirmed()
	})
}

// releaseConfirmed sends the answers whose usage records are confirmed, and deletes the
// replicas of confirmed records at peers.
func (d *daemon) releaseConfirmed() {
	unconfirmed := d.pending[:0]
	var confirmed []func()
	for _, answer := range d.pending {
		if d.usage.Confirmed(answer.position) {
			confirmed = append(confirmed, answer.send)
		} else {
			unconfirmed = append(unconfirmed, answer)
		}
	}
	d.pending = unconfirmed
	for _, send := range confirmed {
		send()
	}
	for _, peer := range d.sim.daemons {
		if !d.canReach(peer) {
			continue
		}
		for id, replica := range peer.replicas {
			if replica.owner == d && replica.incarnation == d.incarnation && replica.position <= d.usage.LastConfirmed() {
				delete(peer.replicas, id)
			}
		}
	}
}

// adoptReplicas appends replicated usage records to the log if their owner has restarted or
// did not confirm them within adoptDelay.
func (d *daemon) adoptReplicas() {
	var batch []billing.UsageRecord
	for _, id := range slices.Sorted(maps.Keys(d.replicas)) {
		replica := d.replicas[id]
		gone := !replica.owner.alive || replica.owner.incarnation != replica.incarnation
		if gone || d.sim.clock.Elapsed()-replica.receivedAt > adoptDelay {
			batch = append(batch, replica.record)
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
		d.sim.stats.Adopted += len(batch)
		for _, u := range batch {
			delete(d.replicas, u.RequestID)
		}
	})
}
