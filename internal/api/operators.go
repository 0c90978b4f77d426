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

func (a *API) operators(g *echo.Group) {
	g.GET("/config", func(c echo.Context) error { return c.JSON(http.StatusOK, a.d.Config()) })
	g.GET("/history", func(c echo.Context) error { return c.JSON(http.StatusOK, a.d.PatchHistory()) })
	g.POST("/patches", a.patch)
	g.GET("/status", a.status)
	g.GET("/servers", func(c echo.Context) error { return c.JSON(http.StatusOK, a.d.Servers()) })
	g.GET("/rollouts", func(c echo.Context) error { return c.JSON(http.StatusOK, a.d.Rollouts()) })
	g.GET("/holds", a.holds)
	g.PUT("/holds/:fingerprint", a.holdRequest)
	g.DELETE("/holds/:fingerprint", a.releaseRequest)
	g.GET("/burn", a.burn)
	g.GET("/usage", a.usage)
	g.POST("/explain", a.explain)
}

func (a *API) operatorOnly(next echo.HandlerFunc) echo.HandlerFunc {
	want := []byte("Bearer " + a.d.OperatorKey())
	return func(c echo.Context) error {
		if subtle.ConstantTimeCompare([]byte(c.Request().Header.Get("Authorization")), want) != 1 {
			return fault.New(fault.Unauthorized, "send the operator key as a bearer token")
		}
		return next(c)
	}
}

// PatchRefusal tells an operator what moved under a stale patch.
type PatchRefusal struct {
	refusalBody
	// InForce is the number in force.
	InForce uint64 `json:"in_force"`
	// Moved lists what patches after the base changed.
	Moved []fleet.PatchOutcome `json:"moved"`
}

func (a *API) patch(c echo.Context) error {
	data, err := a.body(c)
	if err != nil {
		return err
	}
	var r fleet.Record
	if err := fleet.DecodeStrict(data, &r); err != nil {
		return fault.NewField(fault.BadRequest, "body", "%v", err)
	}
	if r.Checkpoint != nil {
		return fault.NewField(fault.BadRequest, "checkpoint", "operators send patches only")
	}
	o, err := a.d.SubmitPatch(c.Request().Context(), r)
	if err != nil {
		return err
	}
	if o.Accepted {
		return c.JSON(http.StatusOK, o)
	}
	f := fault.New(o.Kind, "%s", o.Detail)
	a.d.RecordRefusal(string(o.Kind))
	var moved []fleet.PatchOutcome
	for _, h := range a.d.PatchHistory() {
		if h.Accepted && h.Number > r.Base {
			moved = append(moved, h)
		}
	}
	c.Response().Header().Set(HeaderRan, string(fault.NotRun))
	return c.JSON(fault.Lookup(o.Kind).Status, PatchRefusal{refuse(requestID(c), f), a.d.Config().Number, moved})
}

// Status is a daemon's view of itself and the others.
type Status struct {
	ID      string              `json:"id"`
	Number  uint64              `json:"number"`
	Ready   bool                `json:"ready"`
	Leaving bool                `json:"leaving"`
	Members []membership.Member `json:"members"`
}

func (a *API) status(c echo.Context) error {
	return c.JSON(http.StatusOK, Status{
		ID: a.d.Settings().ID, Number: a.d.Config().Number, Ready: a.d.Ready(),
		Leaving: a.d.Leaving(), Members: a.d.Members(),
	})
}

func (a *API) burn(c echo.Context) error {
	lines, missing := a.d.BurnReport(c.Request().Context())
	return c.JSON(http.StatusOK, map[string]any{"lines": lines, "missing": missing})
}

func (a *API) usage(c echo.Context) error {
	l, err := a.d.UsageLedger(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]any{"bills": l.Len(), "duplicates": l.Duplicates, "doubtful": l.Conflicting, "lines": l.LineItems()})
}

func (a *API) explain(c echo.Context) error {
	data, err := a.body(c)
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
	e, err := a.d.Explain(in.Workspace, in.Model, in.Session, in.Prompt)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, e)
}
