package http3

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"sync"

	"github.com/quic-go/quic-go"

	"spokegw/internal/quiclb"
)

// Routing is what connection IDs tell a balancer that serves several instances
// (draft-ietf-quic-load-balancers).
type Routing struct {
	Config byte   // rotation codepoint
	Server string // this instance's ID, in hexadecimal
	Nonce  int    // length in bytes
	Key    string // path of a file with a key in hexadecimal; "": plaintext
}

// routedIDs makes connection IDs that a balancer can route by.
type routedIDs struct {
	encoder   *quiclb.Encoder
	plaintext bool

	mu    sync.Mutex
	nonce []byte // the latest
}

func newRoutedIDs(r *Routing) (*routedIDs, error) {
	server, err := hex.DecodeString(r.Server)
	if err != nil {
		return nil, fmt.Errorf("server %.40q: hexadecimal digits are expected", r.Server)
	}
	c := quiclb.Config{Config: r.Config, Server: server, NonceLen: r.Nonce}
	if r.Key != "" {
		if c.Key, err = readKey(r.Key); err != nil {
			return nil, err
		}
	}
	ids := &routedIDs{plaintext: c.Key == nil, nonce: make([]byte, r.Nonce)}
	if ids.encoder, err = quiclb.New(c); err != nil {
		return nil, err
	}
	rand.Read(ids.nonce) // never fails
	return ids, nil
}

// readKey reads a key from a file. The error does not contain the key.
func readKey(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	key, err := hex.DecodeString(string(bytes.TrimSpace(text)))
	if err != nil || len(key) != quiclb.KeyLen {
		return nil, fmt.Errorf("key %s: %d hexadecimal digits are expected", path, 2*quiclb.KeyLen)
	}
	return key, nil
}

// GenerateConnectionID makes the next connection ID. With a key, nonces are counted up
// from a random one, so that none repeats; in plaintext each is random, so that an
// observer can't link the IDs of a connection.
func (r *routedIDs) GenerateConnectionID() (quic.ConnectionID, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plaintext {
		rand.Read(r.nonce)
	} else {
		for i := len(r.nonce) - 1; i >= 0; i-- {
			if r.nonce[i]++; r.nonce[i] != 0 {
				break
			}
		}
	}
	id, err := r.encoder.Encode(r.nonce)
	if err != nil {
		return quic.ConnectionID{}, fmt.Errorf("connection ID: %w", err)
	}
	return quic.ConnectionIDFromBytes(id), nil
}

// ConnectionIDLen is the length of connection IDs in bytes.
func (r *routedIDs) ConnectionIDLen() int { return r.encoder.Len() }
