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

// programMB is what the program's code and tables take of the memory while it runs, and minHeapFraction
// of a memory hardly larger than that is for the heap in any case.
const (
	programMB       = 19
	minHeapFraction = 0.35
)

// A client's connection on which a request is open takes up to connectionBytes of the heap besides the
// body. All may take connectionFraction of the heap, but requestSockets of the descriptors can be
// connections in any case: that many clients may have requests.
const (
	connectionBytes    = 20 << 10
	connectionFraction = 0.25
	requestSockets     = 1.0 / 3
)

// clients is how many clients may be connected, for a share of the limits.
func (l *Limits) clients(share float64) int {
	byMemory := max(int64(connectionFraction*l.heapBytes(share)/connectionBytes), l.sockets(share*requestSockets))
	return int(min(l.sockets(share*clientFraction), byMemory))
}

// heapBytes is what the heap may take of a share of the memory.
func (l *Limits) heapBytes(share float64) float64 {
	megabytes := share * float64(l.MemoryMB)
	return max(min(heapFraction*megabytes, megabytes-programMB), minHeapFraction*megabytes) * (1 << 20)
}

// leftMultiple is the memory that counts as whole, in multiples of what is left for bodies and answers,
// and minWhole what counts in any case, as a fraction of the memory.
const (
	leftMultiple = 3
	minWhole     = 0.25
)

// ownHeapBytes is what the sidecar itself takes of the heap: the runtime, and its tables.
const ownHeapBytes = 4 << 20

// memoryBytes is a fraction of a share of the memory, for bodies or answers. Where the program and the
// clients' connections leave little, it is less: leftMultiple times the fraction of what they leave,
// as bodies and answers have little more than a third of the memory together.
func (l *Limits) memoryBytes(fraction, share float64) int64 {
	memory := share * float64(l.MemoryMB<<20)
	left := l.heapBytes(share) - ownHeapBytes - float64(l.clients(share)*connectionBytes)
	return int64(fraction * max(min(memory, leftMultiple*left), minWhole*memory))
}

// limitMemory limits the heap of the process for a share of the memory.
func limitMemory(l Limits, share float64) {
	debug.SetMemoryLimit(int64(l.heapBytes(share)))
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
