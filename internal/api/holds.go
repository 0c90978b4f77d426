package api

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

// HeldRequest describes a quarantined request, which is not sent to backend servers.
type HeldRequest struct {
	// Fingerprint identifies the request in log lines and operator commands.
	Fingerprint string `json:"fingerprint"`
	// AgeSeconds is the time since the hold began, RemainingSeconds the time until it
	// expires.
	AgeSeconds       float64 `json:"age_seconds"`
	RemainingSeconds float64 `json:"left_seconds"`
}

func (a *API) listHolds(c echo.Context) error {
	out := []HeldRequest{}
	for _, hold := range a.daemon.Holds() {
		out = append(out, HeldRequest{hold.Fingerprint.String(), millisToSeconds(hold.AgeMs), millisToSeconds(hold.RemainingMs)})
	}
	return c.JSON(http.StatusOK, out)
}

func millisToSeconds(ms int64) float64 { return (time.Duration(ms) * time.Millisecond).Seconds() }

// addHold quarantines a request on behalf of an operator, for the same duration as an
// automatic hold, and responds with all holds.
func (a *API) addHold(c echo.Context) error {
	fingerprint, err := parseFingerprint(c)
	if err != nil {
		return err
	}
	a.daemon.AddHold(fingerprint)
	return a.listHolds(c)
}

// releaseHold ends a hold and responds with the remaining ones.
func (a *API) releaseHold(c echo.Context) error {
	fingerprint, err := parseFingerprint(c)
	if err != nil {
		return err
	}
	a.daemon.ReleaseHold(fingerprint)
	return a.listHolds(c)
}

func parseFingerprint(c echo.Context) (quarantine.Fingerprint, error) {
	fingerprint, err := quarantine.ParseFingerprint(c.Param("fingerprint"))
	if err != nil {
		return 0, fault.NewField(fault.BadRequest, "fingerprint", "%v", err)
	}
	return fingerprint, nil
}
