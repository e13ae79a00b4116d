package upstream

import "sync"

// keptBody is a buffer that bodies of answers are read into. Most of what is allocated for
// a request would be that.
type keptBody struct {
	of   *sync.Pool
	room []byte
}

// keptRooms are the sizes of buffers, in bytes. An answer takes the least that holds it, so
// that what waits for a slow reader holds four times what it has to at most. Short ones are
// not worth keeping.
var keptRooms = [...]int{4 << 10, 16 << 10, maxBody}

const leastKept = 1 << 10

var keptBodies [len(keptRooms)]sync.Pool

// room returns an empty slice for a body of so many bytes, which is given back with the
// answer.
func (a *Answer) room(size int64) []byte {
	for i, most := range keptRooms {
		if size < leastKept || size > int64(most) {
			continue
		}
		if a.kept, _ = keptBodies[i].Get().(*keptBody); a.kept == nil {
			a.kept = &keptBody{&keptBodies[i], make([]byte, most)}
		}
		return a.kept.room[:0:size]
	}
	return make([]byte, 0, size)
}
