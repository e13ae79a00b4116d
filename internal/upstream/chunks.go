package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"spokegw/internal/framing"
)

// chunkReader decodes the chunked coding (RFC 9112 section 7.1). Unlike the reader of net/http it
// returns what has arrived of a chunk without waiting for more, and reading may go on after a read
// that timed out.
type chunkReader struct {
	r        *bufio.Reader
	state    chunkState
	left     int64 // bytes of the current chunk that are unread
	overhead int64 // bytes of lines in excess of what is allowed for the data so far
	trailer  int   // bytes of the trailer so far
}

// chunkState is what comes next.
type chunkState uint8

const (
	chunkSize    chunkState = iota // the line with the size of a chunk
	chunkData                      // the data of a chunk
	chunkEnd                       // the empty line after the data
	chunkTrailer                   // a field after the last chunk, or the empty line that ends the body
	chunkDone
)

const (
	// maxChunkLine is the longest line in bytes.
	maxChunkLine = 4 << 10
	// maxChunkOverhead is how many bytes of lines a body may have beyond allowedOverhead for each chunk
	// and twice its data: extensions of chunks are read and dropped.
	maxChunkOverhead = 16 << 10
	allowedOverhead  = 16
)

var (
	errChunk   = errors.New("the chunked coding is invalid, or holds too much besides data")
	errTrailer = errors.New("invalid or too long trailer after the last chunk")
)

// Read returns io.EOF, as early as possible, at the end of the trailer: what follows on the
// connection does not belong to this body.
func (c *chunkReader) Read(p []byte) (n int, err error) {
	for n < len(p) && (n == 0 || c.nextBuffered()) {
		var read int
		read, err = c.step(p[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// nextBuffered reports whether step will not wait.
func (c *chunkReader) nextBuffered() bool {
	text, _ := c.r.Peek(c.r.Buffered())
	if c.state == chunkData {
		return len(text) > 0
	}
	return bytes.IndexByte(text, '\n') >= 0
}

// step reads what comes next: some data into p, or a line. After an error of the connection it may
// be called again.
func (c *chunkReader) step(p []byte) (n int, err error) {
	if c.state == chunkDone {
		return 0, io.EOF
	}
	if c.state == chunkData {
		return c.readData(p)
	}
	line, err := c.readLine()
	if err != nil {
		return 0, err
	}
	switch c.state {
	case chunkSize:
		return 0, c.beginChunk(line)
	case chunkEnd:
		if len(line) > 0 {
			return 0, errChunk
		}
		c.state = chunkSize
		return 0, nil
	default:
		return 0, c.endTrailerField(line)
	}
}

func (c *chunkReader) readData(p []byte) (n int, err error) {
	n, err = c.r.Read(p[:min(int64(len(p)), c.left)])
	if c.left -= int64(n); c.left == 0 {
		c.state = chunkEnd
	}
	return n, unexpectedEOF(err)
}

// readLine returns a line without its end. The line is valid until the next read.
func (c *chunkReader) readLine() ([]byte, error) {
	for size := 1; size <= maxChunkLine; size = c.r.Buffered() + 1 {
		if _, err := c.r.Peek(size); err != nil {
			return nil, unexpectedEOF(err)
		}
		text, _ := c.r.Peek(c.r.Buffered())
		end := bytes.IndexByte(text, '\n')
		if end < 0 {
			continue
		}
		if end == 0 || end > maxChunkLine || bytes.IndexByte(text[:end], '\r') != end-1 {
			return nil, errChunk
		}
		c.r.Discard(end + 1) // already buffered
		return text[:end-1], nil
	}
	return nil, errChunk
}

// beginChunk reads the size of a chunk from its line, of which an extension is dropped.
func (c *chunkReader) beginChunk(line []byte) error {
	size, _, _ := bytes.Cut(bytes.TrimRight(line, " \t"), []byte(";"))
	n, err := strconv.ParseUint(string(size), 16, 63)
	if err != nil {
		return errors.Join(errChunk, err)
	}
	c.overhead = max(c.overhead+int64(len(line))+2*int64(len("\r\n"))-allowedOverhead-2*min(int64(n), maxChunkOverhead), 0)
	if c.overhead > maxChunkOverhead {
		return errChunk
	}
	c.left, c.state = int64(n), chunkData
	if n == 0 {
		c.state = chunkTrailer
	}
	return nil
}

// endTrailerField takes a line after the last chunk; the empty one ends the body.
func (c *chunkReader) endTrailerField(line []byte) error {
	if len(line) == 0 {
		c.state = chunkDone
		return io.EOF
	}
	if c.trailer += len(line) + len("\r\n"); c.trailer > framing.MaxHead || !framing.IsField(line) {
		return errTrailer
	}
	return nil
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
