package quiclb

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The test vectors of the draft's appendix B.2: one for a single block, and four-round
// ones with texts of odd and even length.
func TestVectors(t *testing.T) {
	for _, v := range []struct {
		config            byte
		id, server, nonce string
	}{
		{0, "0720b1d07b359d3c", "ed793a", "ee080dbf"},
		{1, "2fcc381bc74cb4fbad2823a3d1f8fed2", "ed793a51d49b8f5fab65", "ee080dbf48"},
		{2, "504dd2d05a7b0de9b2b9907afb5ecf8cc3", "ed793a51d49b8f5f", "ee080dbf48c0d1e5"},
		{0, "125779c9cc86beb3a3a4a3ca96fce4bfe0cdbc", "ed793a51d49b8f5fab", "ee080dbf48c0d1e55d"},
	} {
		e, err := New(Config{Config: v.config, Server: unhex(t, v.server), NonceLen: len(v.nonce) / 2, Key: unhex(t, "8f95f09245765f80256934e50c66207f")})
		if err != nil {
			t.Fatal(err)
		}
		id, err := e.Encode(unhex(t, v.nonce))
		if err != nil || hex.EncodeToString(id) != v.id {
			t.Errorf("server %s, nonce %s: %x (%v), want %s", v.server, v.nonce, id, err, v.id)
		}
		server, nonce, err := e.Decode(unhex(t, v.id))
		if err != nil || hex.EncodeToString(server) != v.server || hex.EncodeToString(nonce) != v.nonce {
			t.Errorf("%s: server %x, nonce %x (%v), want %s and %s", v.id, server, nonce, err, v.server, v.nonce)
		}
	}
}

// In plaintext, the server's ID follows the first byte, and the nonce follows the ID.
func TestPlain(t *testing.T) {
	e, err := New(Config{Config: 3, Server: []byte{0xab, 0xcd}, NonceLen: 4})
	if err != nil {
		t.Fatal(err)
	}
	id, _ := e.Encode([]byte{1, 2, 3, 4})
	if want := []byte{3<<5 | 6, 0xab, 0xcd, 1, 2, 3, 4}; !bytes.Equal(id, want) {
		t.Errorf("%x, want %x", id, want)
	}
}

// Decoding inverts encoding for all lengths, and different nonces never give the same
// ID.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := rapid.SliceOfN(rapid.Byte(), 1, maxServerLen).Draw(t, "server")
		n := rapid.IntRange(minNonceLen, maxCombinedLen-len(server)).Draw(t, "nonce length")
		key := rapid.OneOf(rapid.Just([]byte(nil)), rapid.SliceOfN(rapid.Byte(), KeyLen, KeyLen)).Draw(t, "key")
		e, err := New(Config{Config: byte(rapid.IntRange(0, MaxConfig).Draw(t, "config")), Server: server, NonceLen: n, Key: key})
		if err != nil {
			t.Fatal(err)
		}
		a, b := rapid.SliceOfN(rapid.Byte(), n, n).Draw(t, "a"), rapid.SliceOfN(rapid.Byte(), n, n).Draw(t, "b")
		id, err := e.Encode(a)
		if err != nil || len(id) != e.Len() {
			t.Fatalf("%x: %v", id, err)
		}
		gotServer, gotNonce, err := e.Decode(id)
		if err != nil || !bytes.Equal(gotServer, server) || !bytes.Equal(gotNonce, a) {
			t.Fatalf("%x is decoded as %x and %x (%v), it was made of %x and %x", id, gotServer, gotNonce, err, server, a)
		}
		if other, _ := e.Encode(b); bytes.Equal(id, other) != bytes.Equal(a, b) {
			t.Fatalf("nonces %x and %x: %x and %x", a, b, id, other)
		}
	})
}

func TestOutOfBounds(t *testing.T) {
	for want, c := range map[string]Config{
		"config 7":               {Config: 7, Server: []byte{1}, NonceLen: 4},
		"server ID of 0":         {NonceLen: 4},
		"server ID of 16":        {Server: make([]byte, 16), NonceLen: 4},
		"nonce of 3":             {Server: []byte{1}, NonceLen: 3},
		"nonce of 19":            {Server: []byte{1}, NonceLen: 19},
		"ID and nonce of 20":     {Server: make([]byte, 10), NonceLen: 10},
		"key of 8 bytes: 16 are": {Server: []byte{1}, NonceLen: 4, Key: make([]byte, 8)},
	} {
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %q", c, err, want)
		}
	}
	e, _ := New(Config{Config: 1, Server: []byte{1}, NonceLen: 4})
	if _, err := e.Encode(make([]byte, 5)); err == nil {
		t.Error("a nonce of the wrong length was accepted")
	}
	for _, id := range [][]byte{nil, {0x25}, {0x45, 1, 2, 3, 4, 5}, make([]byte, 7)} {
		if _, _, err := e.Decode(id); err == nil {
			t.Errorf("%x was decoded", id)
		}
	}
}
