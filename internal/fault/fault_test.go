package fault

import (
	"slices"
	"testing"
)

// finalStatuses are the statuses after which callers do not come back.
var finalStatuses = []int{400, 401, 403, 404, 409, 410, 413, 422, 431}

// Guards against kinds that end a request for good and are not known as such.
func TestFinalKinds(t *testing.T) {
	for _, spec := range Specs() {
		if want := slices.Contains(finalStatuses, spec.Status); spec.Final() != want {
			t.Errorf("%s, %d: final %t", spec.Kind, spec.Status, spec.Final())
		}
	}
}
