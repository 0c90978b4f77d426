// Package platform is the system's side of what the platform offers: the
// append-only log, the list of VMs, the weight store and the rating service.
// Each is a small interface with an HTTP client; stand-ins serve the other end
// in tests and in the demo.
package platform

import (
	"context"
	"time"
)

// Record is one entry of a log stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the result of one read.
type Batch struct {
	Records []Record `json:"records"`
	// Oldest is the first offset the log still keeps.
	Oldest uint64 `json:"oldest"`
	// Next is the offset the next append will get.
	Next uint64 `json:"next"`
}

// Log is the append-only log service. Offsets of a stream are consecutive.
type Log interface {
	// Append adds records in order and returns the offset of the first. An
	// error leaves open whether the records were added.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns records from an offset on, waiting up to wait for the first.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}

// VMState is what the platform says of a VM.
type VMState string

const (
	// Live VMs may be used.
	Live VMState = "live"
	// Leaving VMs go away soon and must get no new work.
	Leaving VMState = "leaving"
)

// VM is one row of the platform's lagging list.
type VM struct {
	ID            string  `json:"id"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
}

// VMList is the platform's list of VMs. It lags and may be down.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// Sample is an answer handed to the rating service.
type Sample struct {
	RequestID string `json:"request_id"`
	Daemon    string `json:"daemon"`
	Workspace string `json:"workspace"`
	Class     string `json:"class"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Server    string `json:"server"`
	Answer    string `json:"answer"`
}

// Rating is the service's late word on a sample.
type Rating struct {
	Sample Sample `json:"sample"`
	Good   bool   `json:"good"`
}

// RatingService is the rating service. Ratings come late and in any order.
type RatingService interface {
	Submit(ctx context.Context, s Sample) error
	// Collect returns the ratings of a daemon's samples from a cursor on and the next cursor.
	Collect(ctx context.Context, daemon string, from int) ([]Rating, int, error)
}

// WeightStore hands model weights to backend servers at a limited rate.
type WeightStore interface {
	// Reserve asks for permission to load a version; false means try again later.
	Reserve(ctx context.Context, model, version string) (bool, error)
}
