// Package platform defines the platform's services: the append-only log, the list of VMs, the
// weight store and the rating service. Client implements them over HTTP.
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
	// Oldest is the first offset that the log retains.
	Oldest uint64 `json:"oldest"`
	// Next is the offset of the next append.
	Next uint64 `json:"next"`
}

// Log is the append-only log service. Offsets of a stream are consecutive.
type Log interface {
	// Append adds records in order and returns the offset of the first. After an error the
	// records may or may not have been added.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns up to limit records from an offset on. It waits up to wait for the first.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}

// VMState is the lifecycle state of a VM.
type VMState string

const (
	// Live VMs accept work.
	Live VMState = "live"
	// Leaving VMs are about to be removed and must get no new work.
	Leaving VMState = "leaving"
)

// VM is an entry of VMList.
type VM struct {
	ID            string  `json:"id"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
}

// VMList lists the platform's VMs. The list may be outdated or unavailable.
type VMList interface {
	// List returns the entries that can be read, with an *UnreadableEntriesError if there are others.
	List(ctx context.Context) ([]VM, error)
}

// Sample is an answer that is submitted for rating.
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

// Rating is the rating of a sample.
type Rating struct {
	Sample Sample `json:"sample"`
	Good   bool   `json:"good"`
}

// RatingService rates samples. Ratings arrive late and in any order.
type RatingService interface {
	Submit(ctx context.Context, s Sample) error
	// Collect returns the ratings of a daemon's samples from a cursor on, and the next cursor.
	Collect(ctx context.Context, daemon string, from int) ([]Rating, int, error)
}

// WeightStore limits the rate at which backend servers load model weights.
type WeightStore interface {
	// Reserve requests permission to load a version. False means that the rate is exceeded
	// and the caller may retry later.
	Reserve(ctx context.Context, model, version string) (bool, error)
}
