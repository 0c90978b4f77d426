package daemon

import (
	"errors"
	"fmt"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/engine"
)

// Guards against crashes that are not attributed to a request whose connection was lost before the
// response began.
func TestLossBeforeTheResponseIsAttributed(t *testing.T) {
	refused := fmt.Errorf("%w: connection refused", engine.ErrNotConnected)
	for name, tt := range map[string]struct {
		errs []error
		want containment.Outcome
	}{
		"never connected":               {[]error{refused}, containment.Completed},
		"refused by the server":         {[]error{engine.ErrNotStarted}, containment.Completed},
		"lost, then refused":            {[]error{errors.New("reset"), refused}, containment.ConnectionLost},
		"responded, lost, then refused": {[]error{nil, refused}, containment.ConnectionLost},
	} {
		started := false
		for _, err := range tt.errs {
			started = started || mayHaveStarted(err)
		}
		last := tt.errs[len(tt.errs)-1]
		if got := containmentOutcome(startEvent(last), false, started); got != tt.want {
			t.Errorf("%s: outcome %d, want %d", name, got, tt.want)
		}
	}
}
