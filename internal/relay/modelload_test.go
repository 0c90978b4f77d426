package relay

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/cascade"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// Guards against reports of other daemons that decide on their own when few of them are heard, and
// against invalid ones that replace the last one.
func TestReportedLoadJoinsOwn(t *testing.T) {
	s := newHarness(t, respond(200, "")).relay.State
	s.SetDaemons(200)
	s.daemon = "no reporter"
	for s.reportsModelLoad() {
		s.daemon += "."
	}
	engine := &route.Engine{CostPerKiloToken: map[string]float64{"small": 1, "large": 10}}
	sv := s.serviceFor("lm")
	partition := sv.partitionFor(engine)
	now := time.Now()
	partition.RecordWork("small", time.Second, now)
	partition.RecordWork("large", time.Second, now)
	load := func(model string, millis int64) []ModelLoad {
		return []ModelLoad{{Model: modelKey("lm", model), Millis: millis}}
	}
	outside := func() int {
		s.applyModelLoad("lm", sv, engine, now)
		excluded := partition.IndicesOutside("large", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
		return excluded.Len()
	}
	if !s.ApplyModelLoad("a", load("small", 10)) {
		t.Fatal("valid report dropped")
	}
	if n := outside(); n < 4 || n > 6 {
		t.Errorf("a report of 10 ms left the large model %d of 10 engines, want about half", 10-n)
	}
	if s.ApplyModelLoad("a", load("large", -1)) {
		t.Error("negative work accepted")
	}
	s.modelLoad = routing.NewPooledLoad() // the sums of the last are kept for a while
	for _, daemon := range []string{"a", "b", "c"} {
		s.ApplyModelLoad(daemon, append(load("small", 9000), load("large", 1000)...))
	}
	if n := outside(); n != 9 {
		t.Errorf("three reports of a tenth left the large model %d of 10 engines, want 1", 10-n)
	}
}

func TestOwnLoadIsReported(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	engine := &route.Engine{CostPerKiloToken: map[string]float64{"small": 1, "large": 10}}
	h.relay.State.withService("lm", func(sv *service) {
		sv.partitionFor(engine).RecordWork("large", time.Second, time.Now())
	})
	models := []cascade.Model{{Name: "small", Price: 1, HighestPrice: 10}, {Name: "large", Price: 10, HighestPrice: 10}}
	request := cascade.Request{Route: "r", PromptTokens: 1000, CompletionTokens: 10, FirstEventTarget: time.Second, RemainingTime: time.Minute}
	h.relay.withEscalator("lm", func(v *cascade.Escalator) {
		v.ObserveSend(request, models, 1, cascade.Estimate{FirstEvent: time.Second}, time.Now())
	})
	for _, load := range h.relay.OwnModelLoad() {
		if load.Model != modelKey("lm", "large") {
			continue
		}
		if load.Millis < 900 || load.Requests < 90 || load.DelayCost <= 0 {
			t.Errorf("reported %+v, want about a second, one request and its cost of delay", load)
		}
		return
	}
	t.Error("the load of the large model is not reported")
}
