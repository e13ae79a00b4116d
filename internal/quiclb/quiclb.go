// Package quiclb makes QUIC connection IDs that a load balancer can route by, as
// specified by draft-ietf-quic-load-balancers: each contains the ID of the server that
// made it, in plaintext or encrypted with a key that balancer and servers share. So a
// connection that migrates to another address still reaches its instance. The package
// has no source of randomness: nonces are arguments.
package quiclb

import (
	"crypto/aes"
	"crypto/cipher"
	"errors"
	"fmt"
)

const (
	// MaxConfig is the highest config rotation codepoint; 0b111 marks an unroutable
	// connection ID (section 3.1 of the draft).
	MaxConfig = 6
	// The draft's limits in bytes (sections 3 and 5.2), with which an ID fits QUIC
	// version 1.
	minNonceLen, maxNonceLen = 4, 18
	maxServerLen             = 15
	maxCombinedLen           = 19
	// KeyLen is the length of a key in bytes.
	KeyLen = 16
)

// Config is what balancer and servers agree on.
type Config struct {
	Config   byte   // rotation codepoint, 0 to MaxConfig
	Server   []byte // this server's ID, 1 to 15 bytes
	NonceLen int    // 4 to 18 bytes, at most 19 with the server's ID
	Key      []byte // KeyLen bytes; nil: server ID and nonce are in plaintext
}

// Encoder makes connection IDs of one server. Its methods may be called concurrently.
type Encoder struct {
	config Config
	block  cipher.Block // nil: plaintext
}

// New makes an encoder. The error states which value is out of the draft's limits.
func New(c Config) (*Encoder, error) {
	switch {
	case c.Config > MaxConfig:
		return nil, fmt.Errorf("config %d: 0 to %d is expected", c.Config, MaxConfig)
	case len(c.Server) < 1 || len(c.Server) > maxServerLen:
		return nil, fmt.Errorf("server ID of %d bytes: 1 to %d are expected", len(c.Server), maxServerLen)
	case c.NonceLen < minNonceLen || c.NonceLen > maxNonceLen:
		return nil, fmt.Errorf("nonce of %d bytes: %d to %d are expected", c.NonceLen, minNonceLen, maxNonceLen)
	case len(c.Server)+c.NonceLen > maxCombinedLen:
		return nil, fmt.Errorf("server ID and nonce of %d bytes: %d at most are expected", len(c.Server)+c.NonceLen, maxCombinedLen)
	}
	e := &Encoder{config: c}
	if c.Key != nil {
		if len(c.Key) != KeyLen {
			return nil, fmt.Errorf("key of %d bytes: %d are expected", len(c.Key), KeyLen)
		}
		e.block, _ = aes.NewCipher(c.Key) // can't fail: the length is valid
	}
	return e, nil
}

// Len is the length of a connection ID in bytes.
func (e *Encoder) Len() int { return 1 + len(e.config.Server) + e.config.NonceLen }

// NonceLen is the length of a nonce in bytes.
func (e *Encoder) NonceLen() int { return e.config.NonceLen }

// Encode makes the connection ID of a nonce, which must not be used twice with one key.
// Its first byte holds the config and the length of the remaining bytes (section 3.3),
// so that devices without the config can tell where the ID ends.
func (e *Encoder) Encode(nonce []byte) ([]byte, error) {
	if len(nonce) != e.config.NonceLen {
		return nil, fmt.Errorf("nonce of %d bytes: %d are expected", len(nonce), e.config.NonceLen)
	}
	id := make([]byte, 1, e.Len())
	id[0] = e.config.Config<<5 | byte(e.Len()-1)
	id = append(append(id, e.config.Server...), nonce...)
	if e.block != nil {
		e.encrypt(id[1:])
	}
	return id, nil
}

// errOtherConfig means that a connection ID was not made with this config.
var errOtherConfig = errors.New("the connection ID has another config or length")

// Decode decodes a connection ID as a balancer does, into the server's ID and the
// nonce, which a balancer does not use.
func (e *Encoder) Decode(id []byte) (server, nonce []byte, err error) {
	if len(id) != e.Len() || id[0]>>5 != e.config.Config {
		return nil, nil, errOtherConfig
	}
	text := append([]byte(nil), id[1:]...)
	if e.block != nil {
		e.decrypt(text)
	}
	n := len(e.config.Server)
	return text[:n], text[n:], nil
}

// encrypt encrypts server ID and nonce in place: with one AES block operation if they
// fill a block (section 5.4.1), otherwise with a Feistel network of four rounds
// (section 5.4.2).
func (e *Encoder) encrypt(text []byte) {
	if len(text) == aes.BlockSize {
		e.block.Encrypt(text, text)
		return
	}
	e.feistel(text, 1, 2, 3, 4)
}

func (e *Encoder) decrypt(text []byte) {
	if len(text) == aes.BlockSize {
		e.block.Decrypt(text, text)
		return
	}
	e.feistel(text, 4, 3, 2, 1)
}

// feistel runs rounds in the given order. Odd rounds mix the left half into the right
// one, even rounds the right half into the left one.
func (e *Encoder) feistel(text []byte, rounds ...int) {
	left, right := split(text)
	for _, n := range rounds {
		from, into := left, right
		if n%2 == 0 {
			from, into = right, left
		}
		e.round(n, len(text), from, into)
	}
	join(text, left, right)
}

// round mixes one half into the other. In a text of odd length the halves share the
// middle byte: the left half has its high four bits, the right half its low four, and
// the others stay 0.
func (e *Encoder) round(n, length int, from, into []byte) {
	var b [aes.BlockSize]byte
	copy(b[:], from)
	b[14], b[15] = byte(length), byte(n)
	e.block.Encrypt(b[:], b[:])
	for i := range into {
		into[i] ^= b[i]
	}
	if length%2 == 0 {
		return
	}
	if n%2 == 1 { // into the right half
		into[0] &= 0x0f
	} else {
		into[len(into)-1] &= 0xf0
	}
}

func split(text []byte) (left, right []byte) {
	half := (len(text) + 1) / 2
	left = append(left, text[:half]...)
	right = append(right, text[len(text)-half:]...)
	if len(text)%2 == 1 {
		left[half-1] &= 0xf0
		right[0] &= 0x0f
	}
	return left, right
}

func join(text, left, right []byte) {
	copy(text, left)
	at := len(text) - len(right)
	if len(text)%2 == 1 {
		right[0] |= left[len(left)-1]
	}
	copy(text[at:], right)
}
