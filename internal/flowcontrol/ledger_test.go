package flowcontrol

import (
	"math/rand"
	"testing"
	"time"
)

const (
	budget = 1 << 20
	start  = time.Minute
	stall  = 5 * time.Second
)

// openStreams opens streams whose clients read nothing and fills them until each is paused.
func openStreams(l *Ledger, n int) []ID {
	ids := make([]ID, n)
	for i := range ids {
		ids[i] = l.Open(start)
		l.Deliver(ids[i], stall, start)
	}
	for paused := 0; paused < n; {
		paused = 0
		for _, id := range ids {
			if verdict, _ := l.GrowResponse(id, 512, start); verdict != Granted {
				paused++
			}
		}
	}
	return ids
}

// Guards against slow readers that take the room of a client that keeps up.
func TestSlowReadersArePausedWithinTheBudget(t *testing.T) {
	for _, n := range []int{1, 3, 30, 400} {
		l := NewLedger(budget)
		openStreams(l, n)
		id := l.Open(start)
		l.Deliver(id, stall, start)
		for range 1000 {
			verdict, _ := l.GrowResponse(id, 200, start)
			if verdict != Granted || l.Held() > budget {
				t.Fatalf("beside %d slow readers, %v with %d bytes held", n, verdict, l.Held())
			}
			l.Read(id, 200, start)
		}
	}
}

// Guards against cutting a client that reads, or a small response, while a larger one waits.
func TestLargestOfSlowReadersIsCutFirst(t *testing.T) {
	l := NewLedger(budget)
	open := func(bytes int64, readAt time.Duration) ID {
		id := l.Open(start)
		l.Deliver(id, time.Hour, start)
		for range bytes >> 10 {
			l.GrowResponse(id, 1<<10, start)
		}
		l.Read(id, 0, readAt)
		return id
	}
	now := start + time.Minute
	reading := open(200<<10, now)
	small, large := open(100<<10, start), open(150<<10, start)
	body := l.Open(now)
	if granted, cuts := l.GrowBody(body, budget/2, now); !granted || len(cuts) > 0 {
		t.Fatalf("a body that fits: %t, cuts %v", granted, cuts)
	}
	var cut []ID
	for range 18 {
		_, cuts := l.GrowBody(l.Open(now), smallBody, now)
		for _, c := range cuts {
			cut = append(cut, c.ID)
		}
	}
	if len(cut) != 2 || cut[0] != large || cut[1] != small {
		t.Fatalf("cut %v, want %d, then %d, and not %d", cut, large, small, reading)
	}
}

// Guards against large bodies that leave no room for small ones and for responses.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	l := NewLedger(budget)
	for range 100 {
		l.GrowBody(l.Open(start), 100<<10, start)
	}
	if l.Held() > budget/2 {
		t.Fatalf("large bodies hold %d bytes of %d", l.Held(), budget)
	}
	if granted, _ := l.GrowBody(l.Open(start), 1<<10, start); !granted {
		t.Error("a small body is refused")
	}
	if verdict, _ := l.GrowResponse(l.Open(start), 100<<10, start); verdict != Granted {
		t.Error("a response has no room")
	}
}

// Guards against clients that hold memory for good, and against cutting those that read now and then.
func TestOnlyStalledResponsesAreCut(t *testing.T) {
	l := NewLedger(budget)
	stalled, reads, buffering, idle := l.Open(start), l.Open(start), l.Open(start), l.Open(start)
	for _, id := range []ID{stalled, reads, idle} {
		l.Deliver(id, stall, start)
	}
	for _, id := range []ID{stalled, reads, buffering} {
		l.GrowResponse(id, 100, start)
	}
	l.Read(reads, 1, start+stall)
	if cuts := l.CutStalled(start + stall); len(cuts) != 0 {
		t.Fatalf("cut %v before the timeout", cuts)
	}
	cuts := l.CutStalled(start + stall + 1)
	if len(cuts) != 1 || cuts[0] != (Cut{ID: stalled, Bytes: 100, Age: stall + 1, Unread: stall + 1}) {
		t.Fatalf("cut %+v", cuts)
	}
	if verdict, _ := l.GrowResponse(stalled, 1, start); verdict != Refused {
		t.Error("a cut response grows")
	}
}

// Guards against bytes that stay accounted for after all requests have ended, and against a budget
// that is exceeded.
func TestLedgerIsEmptyAfterAllRequestsEnd(t *testing.T) {
	for seed := range int64(50) {
		rng := rand.New(rand.NewSource(seed))
		l := NewLedger(budget)
		var open []ID
		now := start
		for range 2000 {
			now += time.Duration(rng.Intn(100)) * time.Millisecond
			if len(open) == 0 || rng.Intn(5) == 0 {
				open = append(open, l.Open(now))
			}
			step(l, rng, &open, now)
			if l.Held() < 0 || l.Held() > budget {
				t.Fatalf("seed %d: %d bytes held of %d", seed, l.Held(), budget)
			}
		}
		for _, id := range open {
			l.Close(id)
		}
		if l.held != 0 || l.bodies != 0 || l.responding != 0 || len(l.requests) != 0 {
			t.Fatalf("seed %d: left %+v", seed, *l)
		}
	}
}

// step does one random thing to one of the open requests.
func step(l *Ledger, rng *rand.Rand, open *[]ID, now time.Duration) {
	i := rng.Intn(len(*open))
	id, n := (*open)[i], int64(rng.Intn(1<<rng.Intn(20)))
	switch rng.Intn(8) {
	case 0:
		l.GrowBody(id, n, now)
	case 1:
		l.ReleaseBody(id)
	case 2:
		l.Deliver(id, stall, now)
	case 3, 4:
		l.GrowResponse(id, n, now)
	case 5:
		l.Read(id, n, now)
	case 6:
		l.CutStalled(now)
	default:
		l.Close(id)
		*open = append((*open)[:i], (*open)[i+1:]...)
	}
}

// Guards against reservations that take the room of bodies and responses, and that outlast their request.
func TestReservationsLeaveRoom(t *testing.T) {
	l := NewLedger(budget)
	reserving := l.Open(start)
	for l.Reserve(reserving, 1<<10) {
	}
	if l.Held() > reservedFraction*budget {
		t.Errorf("%d bytes are reserved of %d", l.Held(), budget)
	}
	l.Unreserve(reserving, 1<<10)
	if !l.Reserve(reserving, 1<<10) {
		t.Error("the room of a reservation that has ended is lost")
	}
	id := l.Open(start)
	if granted, _ := l.GrowBody(id, budget/2, start); !granted {
		t.Error("a body is refused beside reservations")
	}
	l.Close(id)
	l.Close(reserving)
	if l.Held() != 0 {
		t.Errorf("%d bytes held at the end", l.Held())
	}
}

// Guards against heads and messages that take the memory of bodies and responses, or one another's.
func TestHeadsAndMessagesHaveTheirParts(t *testing.T) {
	const budget = 1 << 20
	l := NewLedger(budget)
	growHeads := func(n int64) bool {
		granted, _ := l.GrowHeads(0, n, 0)
		return granted
	}
	if !growHeads(budget/4) || growHeads(smallHead+1) {
		t.Error("large heads take another part than a quarter")
	}
	if !l.GrowMessages(budget/4) || l.GrowMessages(1) {
		t.Error("messages take another part than a quarter")
	}
	l.ReleaseHeads(budget / 4)
	l.ReleaseMessages(budget / 4)
	if !l.GrowMessages(5*budget) || l.GrowMessages(1) || growHeads(1) {
		t.Error("a single message has no room, or others have room beside it")
	}
	if l.ReleaseMessages(5 * budget); l.Held() != 0 {
		t.Errorf("%d bytes are held afterwards", l.Held())
	}
}

// Guards against clients that cut daemons off from one another.
func TestMessagesHaveRoomBesideClients(t *testing.T) {
	const budget = 1 << 20
	l := NewLedger(budget)
	for l.Held() < budget {
		if granted, _ := l.GrowHeads(0, min(smallHead, budget-l.Held()), 0); !granted {
			t.Fatal("a small head has no room")
		}
	}
	for n := range 3 {
		if !l.GrowMessages(1000) {
			t.Errorf("message %d has no room beside a full budget", n)
		}
	}
}

// Guards against ordinary requests that are refused beside heads of very many lines, or beside responses that
// are not read.
func TestSmallHeadHasRoomBesideLargeOnes(t *testing.T) {
	const budget = 1 << 20
	l := NewLedger(budget)
	l.GrowHeads(0, budget/4, 0)
	if granted, _ := l.GrowHeads(smallHead, 1, 0); granted {
		t.Error("a head has room in small parts that it does not have at once")
	}
	if granted, cuts := l.GrowHeads(0, 1266, 0); !granted || len(cuts) > 0 {
		t.Errorf("beside large heads: granted %v, %d cuts", granted, len(cuts))
	}
	for granted := true; granted; {
		id := l.Open(0)
		l.Deliver(id, time.Minute, 0)
		verdict, cuts := l.GrowResponse(id, minShare, 0)
		granted = verdict == Granted && len(cuts) == 0
	}
	cut := 0
	for range 10 {
		granted, cuts := l.GrowHeads(0, 1266, 2*time.Second)
		if cut += len(cuts); !granted {
			t.Error("refused beside responses that are not read")
		}
	}
	if cut == 0 {
		t.Error("no response was cut")
	}
}
