// Package parts encodes data as parts, each with its own checksum, so that only a
// corrupted part is lost. It is pure.
//
// A part is a line: the CRC-32C of its JSON in eight hexadecimal digits, and the JSON,
// which contains no newline. It also starts with a newline, so that a torn part or
// garbage before it does not affect it. This detects bit flips, truncation and partial
// writes; a part that is lost entirely is not detected, and the reader has to do without
// it.
package parts

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/crc32"
)

const checksumDigits = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends an encoded part to dst.
func Append(dst []byte, part any) ([]byte, error) {
	text, err := json.Marshal(part)
	if err != nil {
		return dst, fmt.Errorf("parts: %w", err)
	}
	dst = append(dst, '\n')
	dst = hex.AppendEncode(dst, binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, castagnoli)))
	dst = append(dst, text...)
	return append(dst, '\n'), nil
}

// Read returns the valid parts in order, and the number of corrupted lines. The parts
// share the memory of b.
func Read(b []byte) (valid []json.RawMessage, damaged int) {
	for line := range bytes.SplitSeq(b, []byte{'\n'}) {
		if len(line) == 0 {
			continue
		}
		if text, ok := verify(line); ok {
			valid = append(valid, text)
		} else {
			damaged++
		}
	}
	return valid, damaged
}

func verify(line []byte) (json.RawMessage, bool) {
	var sum [checksumDigits / 2]byte
	if len(line) <= checksumDigits {
		return nil, false
	}
	if _, err := hex.Decode(sum[:], line[:checksumDigits]); err != nil {
		return nil, false
	}
	text := line[checksumDigits:]
	return text, crc32.Checksum(text, castagnoli) == binary.BigEndian.Uint32(sum[:])
}
