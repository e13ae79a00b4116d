package sidecar

import (
	"math"
	"runtime"
	"runtime/debug"
)

// Fractions of the descriptors that a sidecar may hold. What clients and endpoints do not get
// is for discovery, the listener, the standard streams and the runtime.
const (
	clientFraction   = 0.55
	busyFraction     = 0.16 // half of what clients may hold for requests
	upstreamFraction = 0.37
	// ownSockets is the minimum for those: a dozen for the runtime, the log and the listeners,
	// four for discovery while it moves, and four for operators' calls.
	ownSockets = 20
	minSockets = 32
)

// Fractions of the memory. heapFraction leaves room for what the collector does not count;
// bodies may use part of that. minMemoryMB is what the runtime itself needs, plus a small
// margin: a sidecar that is short of memory is worth more than one that refuses to start.
const (
	heapFraction       = 0.7
	bodyFraction       = 0.2
	http3Fraction      = 0.1  // for what HTTP/3 clients may send ahead
	longAnswerFraction = 0.15 // for answers longer than the protocol's usual maximum
	minMemoryMB        = 16
)

// ApplyLimits sets the runtime's limits. It affects the whole process.
func ApplyLimits(l Limits) {
	limitMemory(l, 1)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
}

// limitMemory limits the heap of the process to heapFraction of a share of the memory.
func limitMemory(l Limits, share float64) {
	debug.SetMemoryLimit(int64(share * heapFraction * float64(l.MemoryMB<<20)))
	debug.SetGCPercent(int(min(max(share*float64(l.MemoryMB)*gcPercentPerMB, minGCPercent), maxGCPercent)))
}

// Limits of the heap's growth between two collections, in percent: a collection takes a large
// part of a small processor, and with memory to spare it need not run ten times a second. The
// memory limit above takes precedence.
const (
	gcPercentPerMB = 5.0
	minGCPercent   = 100
	maxGCPercent   = 400
)
