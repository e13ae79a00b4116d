package sidecar

import (
	"math"
	"runtime"
	"runtime/debug"
)

// How the descriptors that a sidecar may hold are shared out: the application
// and the endpoints get their parts, and what is left is for discovery, the
// listener, the standard streams and the runtime.
const (
	clientPart   = 0.55
	crowdPart    = 0.16 // half of what the application may hold for requests
	upstreamPart = 0.37
	// ownSockets are for what is left, at least: a dozen of the runtime, the log and the
	// listeners, four for discovery as it moves, and four for operators who ask.
	ownSockets = 20
	minSockets = 32
)

// How the memory is shared out. The part that the collector keeps below
// leaves room for what it does not count; bodies may take parts of that. The
// least is what the runtime needs by itself and a little more: a sidecar that
// refuses to start is worth less than one that is short of memory.
const (
	heapPart    = 0.7
	bodyPart    = 0.2
	http3Part   = 0.1  // for what HTTP/3 clients may send ahead
	longPart    = 0.15 // for answers that are longer than the protocol has them
	minMemoryMB = 16
)

// ApplyLimits sets what the runtime may use. It is for the whole process.
func ApplyLimits(l Limits) {
	limitMemory(l, 1)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
}

// limitMemory has the collector keep the process to its part of the memory.
func limitMemory(l Limits, part float64) {
	debug.SetMemoryLimit(int64(part * heapPart * float64(l.MemoryMB<<20)))
	debug.SetGCPercent(int(min(max(part*float64(l.MemoryMB)*gcPerMB, leastGC), mostGC)))
}

// How much the heap may grow between two collections, in percent: the collector
// takes a good part of a small processor, and with memory to spare it need not
// run ten times a second. The limit above goes before it.
const (
	gcPerMB = 5.0
	leastGC = 100
	mostGC  = 400
)
