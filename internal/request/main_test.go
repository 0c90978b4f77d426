package request

import (
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }
