package journal_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spokegw/internal/journal"
	"spokegw/internal/lab/disk"
)

// After a crash at any disk call, whatever the disk did with unsynced data, the record
// that is read is the last acknowledged one or a later attempted one.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := disk.New(rapid.Uint64().Draw(rt, "seed"))
		acked, attempted := 0, 0
		for range rapid.IntRange(1, 4).Draw(rt, "lives") {
			d.EndAfter(rapid.IntRange(0, 30).Draw(rt, "calls"))
			j, found, err := journal.OpenOn(d, "/state/x")
			if err == nil {
				number := 0
				if fmt.Sscanf(string(found.Last), "record %d ", &number); number < acked || number > attempted {
					rt.Fatalf("read record %d, want between %d (last acknowledged) and %d (last attempted)", number, acked, attempted)
				}
				for err == nil && attempted < 200 {
					attempted++
					record := fmt.Appendf(nil, "record %d %s", attempted, strings.Repeat("x", rapid.IntRange(0, 300).Draw(rt, "size")))
					if rapid.IntRange(0, 4).Draw(rt, "anew") == 0 {
						err = j.Compact(record)
					} else {
						err = j.Write(record)
					}
					if err == nil {
						acked = attempted
					}
				}
				j.Close()
			}
			d.Crash()
		}
		d.EndAfter(1000)
		_, found, err := journal.OpenOn(d, "/state/x")
		number := 0
		if fmt.Sscanf(string(found.Last), "record %d ", &number); err != nil || number < acked || number > attempted {
			rt.Fatalf("read record %d (%v), want between %d (last acknowledged) and %d (last attempted)", number, err, acked, attempted)
		}
	})
}
