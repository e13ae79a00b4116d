package upstream

import "sync"

// bodyBuffer is a pooled buffer for an answer's body, which would otherwise be most of
// what a request allocates.
type bodyBuffer struct {
	pool *sync.Pool
	data []byte
}

// bufferSizes are in bytes. An answer takes the smallest that fits, so an answer that
// waits for a slow reader holds at most four times its size. Bodies below minPooledSize
// are not worth pooling.
var bufferSizes = [...]int{4 << 10, 16 << 10, maxBufferedBody}

const minPooledSize = 1 << 10

var bufferPools [len(bufferSizes)]sync.Pool

// newBuffer returns an empty slice for a body of size bytes. Free returns it to its pool.
func (a *Answer) newBuffer(size int64) []byte {
	for i, capacity := range bufferSizes {
		if size < minPooledSize || size > int64(capacity) {
			continue
		}
		if a.buffer, _ = bufferPools[i].Get().(*bodyBuffer); a.buffer == nil {
			a.buffer = &bodyBuffer{&bufferPools[i], make([]byte, capacity)}
		}
		return a.buffer.data[:0:size]
	}
	return make([]byte, 0, size)
}
