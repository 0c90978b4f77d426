package api

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

// HeldRequest is a request that is kept from backend servers, as operators see it.
type HeldRequest struct {
	// Fingerprint is its name on the daemons' lines.
	Fingerprint string `json:"fingerprint"`
	// AgeSeconds is for how long it has been held, and LeftSeconds for how long it still is.
	AgeSeconds       float64 `json:"age_seconds"`
	RemainingSeconds float64 `json:"left_seconds"`
}

func (a *API) listHolds(c echo.Context) error {
	out := []HeldRequest{}
	for _, h := range a.daemon.Holds() {
		out = append(out, HeldRequest{h.Fingerprint.String(), millisToSeconds(h.AgeMs), millisToSeconds(h.RemainingMs)})
	}
	return c.JSON(http.StatusOK, out)
}

func millisToSeconds(ms int64) float64 { return (time.Duration(ms) * time.Millisecond).Seconds() }

// addHold keeps a request from servers by hand, for as long as the daemon's own holds
// last, and answers with all that are held.
func (a *API) addHold(c echo.Context) error {
	f, err := parseFingerprint(c)
	if err != nil {
		return err
	}
	a.daemon.AddHold(f)
	return a.listHolds(c)
}

// releaseHold ends a hold by hand, and answers with those that are left.
func (a *API) releaseHold(c echo.Context) error {
	f, err := parseFingerprint(c)
	if err != nil {
		return err
	}
	a.daemon.ReleaseHold(f)
	return a.listHolds(c)
}

func parseFingerprint(c echo.Context) (quarantine.Fingerprint, error) {
	f, err := quarantine.ParseFingerprint(c.Param("fingerprint"))
	if err != nil {
		return 0, fault.NewField(fault.BadRequest, "fingerprint", "%v", err)
	}
	return f, nil
}
