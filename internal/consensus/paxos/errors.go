package paxos

import "github.com/zeebo/errs"

// Errors of proposals and reads. After all but ErrOutcomeUnknown it is certain that nothing was written.
//
// Their texts begin with the package's former name: they are part of recorded logs and of answers to operators.
var (
	// ErrOutcomeUnknown says that the value may or may not be decided: read the register, then act on what it holds.
	ErrOutcomeUnknown = errs.Class("agree: in doubt, read it again")
	// ErrNoQuorum says that no majority of voters answered in time and that nothing was written: try again where a
	// majority can be reached.
	ErrNoQuorum = errs.Class("agree: no majority answered, nothing written, try again")
	// ErrNoState says that this process knows no decided State yet: request it from a voter, or wait for one.
	ErrNoState = errs.Class("agree: nothing known of the register yet, ask a voter")
	// ErrQueueFull says that too many operations are queued at this Register.
	ErrQueueFull = errs.Class("agree: too many proposals wait, try again later")
	// ErrInvalidVoters says that a proposed State names no voters, or one twice, or one without an identity.
	ErrInvalidVoters = errs.Class("agree: voters that can't decide, name each once and with its identity")
	// ErrUnchanged is what a change returns that has nothing to write: the proposal ends with the State it was called
	// with, and without an error.
	ErrUnchanged = errs.New("agree: unchanged")
)

// Errors of the disk.
var (
	// ErrCorrupt says that the saved records can't be read: this disk must not vote. Empty it, and it joins as a new
	// voter.
	ErrCorrupt = errs.Class("agree: what was saved is damaged, empty this disk")
	// ErrNotSaved is what Save returns where it left the disk as it was, such as a full one: it is called again.
	ErrNotSaved = errs.Class("agree: nothing was saved, make room on the disk")
)
