package api

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/membership"
)

func (a *API) registerOperatorRoutes(g *echo.Group) {
	g.GET("/config", func(c echo.Context) error { return c.JSON(http.StatusOK, a.daemon.Config()) })
	g.GET("/history", func(c echo.Context) error { return c.JSON(http.StatusOK, a.daemon.PatchHistory()) })
	g.POST("/patches", a.submitPatch)
	g.GET("/status", a.showStatus)
	g.GET("/servers", func(c echo.Context) error { return c.JSON(http.StatusOK, a.daemon.Servers()) })
	g.GET("/rollouts", func(c echo.Context) error { return c.JSON(http.StatusOK, a.daemon.Rollouts()) })
	g.GET("/holds", a.listHolds)
	g.PUT("/holds/:fingerprint", a.addHold)
	g.DELETE("/holds/:fingerprint", a.releaseHold)
	g.GET("/burn", a.reportBurn)
	g.GET("/usage", a.reportUsage)
	g.POST("/explain", a.explainRouting)
}

func (a *API) requireOperatorKey(next echo.HandlerFunc) echo.HandlerFunc {
	want := []byte("Bearer " + a.daemon.OperatorKey())
	return func(c echo.Context) error {
		if subtle.ConstantTimeCompare([]byte(c.Request().Header.Get("Authorization")), want) != 1 {
			return fault.New(fault.Unauthorized, "send the operator key as a bearer token")
		}
		return next(c)
	}
}

// PatchErrorResponse is the response to a rejected patch. It lists the accepted patches
// that are newer than the base of the rejected one.
type PatchErrorResponse struct {
	errorResponse
	// CurrentNumber is the number of the configuration in force.
	CurrentNumber uint64 `json:"in_force"`
	// NewerPatches are the patches accepted after the base.
	NewerPatches []fleet.PatchOutcome `json:"moved"`
}

func (a *API) submitPatch(c echo.Context) error {
	data, err := a.readBody(c)
	if err != nil {
		return err
	}
	var record fleet.Record
	if err := fleet.DecodeStrict(data, &record); err != nil {
		return fault.NewField(fault.BadRequest, "body", "%v", err)
	}
	if record.Checkpoint != nil {
		return fault.NewField(fault.BadRequest, "checkpoint", "operators send patches only")
	}
	outcome, err := a.daemon.SubmitPatch(c.Request().Context(), record)
	if err != nil {
		return err
	}
	if outcome.Accepted {
		return c.JSON(http.StatusOK, outcome)
	}
	faultErr := fault.New(outcome.Kind, "%s", outcome.Detail)
	a.daemon.RecordRefusal(string(outcome.Kind))
	var newer []fleet.PatchOutcome
	for _, prior := range a.daemon.PatchHistory() {
		if prior.Accepted && prior.Number > record.Base {
			newer = append(newer, prior)
		}
	}
	c.Response().Header().Set(HeaderExecutionState, string(fault.NotRun))
	return c.JSON(fault.Lookup(outcome.Kind).Status, PatchErrorResponse{newErrorResponse(requestID(c), faultErr), a.daemon.Config().Number, newer})
}

// Status is the state of a daemon and its view of the cluster members.
type Status struct {
	ID      string              `json:"id"`
	Number  uint64              `json:"number"`
	Ready   bool                `json:"ready"`
	Leaving bool                `json:"leaving"`
	Members []membership.Member `json:"members"`
}

func (a *API) showStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, Status{
		ID: a.daemon.Settings().ID, Number: a.daemon.Config().Number, Ready: a.daemon.Ready(),
		Leaving: a.daemon.Leaving(), Members: a.daemon.Members(),
	})
}

func (a *API) reportBurn(c echo.Context) error {
	lines, missing := a.daemon.BurnReport(c.Request().Context())
	return c.JSON(http.StatusOK, map[string]any{"lines": lines, "missing": missing})
}

func (a *API) reportUsage(c echo.Context) error {
	ledger, err := a.daemon.UsageLedger(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]any{"bills": ledger.Len(), "duplicates": ledger.Duplicates, "doubtful": ledger.Conflicting, "lines": ledger.LineItems()})
}

func (a *API) explainRouting(c echo.Context) error {
	data, err := a.readBody(c)
	if err != nil {
		return err
	}
	var in struct {
		Workspace string `json:"workspace"`
		Model     string `json:"model"`
		Session   string `json:"session"`
		Prompt    string `json:"prompt"`
	}
	if err := json.Unmarshal(data, &in); err != nil {
		return fault.NewField(fault.BadRequest, "body", "%v", err)
	}
	explanation, err := a.daemon.Explain(in.Workspace, in.Model, in.Session, in.Prompt)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, explanation)
}
