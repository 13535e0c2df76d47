// Package id defines the identifiers of sessions, slots, epochs, programs, calls and attempts.
package id

import (
	"fmt"
	"strconv"
	"strings"
)

// Slots is the number of slots that programs are divided into.
const Slots = 64

// MainBranch is the name of the first branch of every program.
const MainBranch = "main"

// Session identifies one run of an instance process: "<instance>.<nonce>".
type Session string

// Instance returns the name of the instance: the part before the last dot.
func (s Session) Instance() string {
	if i := strings.LastIndexByte(string(s), '.'); i >= 0 {
		return string(s[:i])
	}
	return string(s)
}

// Slot is a slot number from 0 to Slots-1.
type Slot uint8

// Epoch is the fencing token of a slot claim. 0 means that the slot has never been claimed.
type Epoch uint64

// Program identifies a program: "p<slot, two hex digits>-<random>".
type Program string

// NewProgram returns the program ID for a slot and a random suffix.
func NewProgram(slot Slot, suffix string) Program {
	return Program(fmt.Sprintf("p%02x-%s", slot, suffix))
}

// Slot returns the slot that is encoded in the ID. It fails if the ID is malformed.
func (p Program) Slot() (Slot, error) {
	s := string(p)
	if len(s) < 5 || s[0] != 'p' || s[3] != '-' {
		return 0, fmt.Errorf("program ID %q: want p<slot>-<suffix>", s)
	}
	n, err := strconv.ParseUint(s[1:3], 16, 8)
	if err != nil {
		return 0, fmt.Errorf("program ID %q: slot: %w", s, err)
	}
	if n >= Slots {
		return 0, fmt.Errorf("program ID %q: slot %d is not below %d", s, n, Slots)
	}
	return Slot(n), nil
}

// Call identifies a call by its sequence number in its branch. Seq starts at 1.
type Call struct {
	Program Program `msgpack:"p"`
	Branch  string  `msgpack:"b"`
	Seq     uint64  `msgpack:"s"`
}

// String returns "<program>/<branch>/<seq>".
func (c Call) String() string {
	return fmt.Sprintf("%s/%s/%d", c.Program, c.Branch, c.Seq)
}

// Attempt identifies one dispatch of a call to an endpoint:
// "<program>/<branch>/<seq>/e<epoch>.<n>". The epoch makes the attempts of different
// holders of a slot distinct.
type Attempt string

// NewAttempt returns the attempt ID of the n-th dispatch of a call under an epoch.
func NewAttempt(c Call, e Epoch, n int) Attempt {
	return Attempt(fmt.Sprintf("%s/e%d.%d", c, e, n))
}
