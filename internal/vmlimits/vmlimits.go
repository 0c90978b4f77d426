// Package vmlimits holds the limits of the VM and the process that a daemon runs in, and what follows from
// them for its clients.
package vmlimits

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/damaskrudder/damaskrudder/internal/connlimit"
)

const (
	// bytesPerMB is the number of bytes of a MiB.
	bytesPerMB = 1 << 20
	// BaseMemory is the memory in bytes that a daemon needs without requests.
	BaseMemory = 64 * bytesPerMB
	// memoryPerHeldByte is the memory in bytes that one held byte may take: itself, its copy while a
	// buffer grows, garbage not yet collected, and the buffers of the connections.
	memoryPerHeldByte = 4
	// MinMemoryBudget is the least budget in bytes. It has room for a large request body.
	MinMemoryBudget = 8 * bytesPerMB
	// reservedFiles is the number of descriptors that sockets may not take.
	reservedFiles = 200
	// maxReservedFraction is the largest part of the descriptors that is reserved.
	maxReservedFraction = 0.5
	// heapFraction is the part of the memory that the heap and the stacks may take before the garbage
	// collector runs more often.
	heapFraction = 0.8
)

// Limits are the limits that are stated. Zero means that one is not.
type Limits struct {
	// Memory is the memory of the VM in bytes, Files the number of descriptors that may be open.
	Memory int64
	Files  int
}

// Detect returns the limits with those that are not stated taken from the VM and the process.
func (l Limits) Detect() Limits {
	var info unix.Sysinfo_t
	if l.Memory == 0 && unix.Sysinfo(&info) == nil { // else it stays unknown
		l.Memory = int64(info.Totalram) * int64(info.Unit)
	}
	var files unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &files) == nil && (l.Files == 0 || files.Cur < uint64(l.Files)) { // else it stays as stated
		l.Files = int(min(files.Cur, 1<<30))
	}
	return l
}

// MemoryBudget returns the number of bytes that may be held for requests; zero if the memory is not known.
func (l Limits) MemoryBudget() int64 {
	if l.Memory == 0 {
		return 0
	}
	return max(MinMemoryBudget, (l.Memory-BaseMemory)/memoryPerHeldByte)
}

// MaxConnections returns the number of connections of clients that may be open.
func (l Limits) MaxConnections() int { return connlimit.MaxConnections(l.sockets(), l.Memory) }

// sockets returns the number of descriptors for sockets; zero if it is not known.
func (l Limits) sockets() int {
	return l.Files - min(reservedFiles, int(maxReservedFraction*float64(l.Files)))
}

// LimitHeap tells the garbage collector the memory, if it is known.
func (l Limits) LimitHeap() {
	if l.Memory > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(l.Memory)))
	}
}
