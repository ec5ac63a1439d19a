package paxos

import "github.com/zeebo/errs"

// Errors of proposals and reads. After any of them but ErrOutcomeUnknown it is certain that nothing was written.
//
// The texts begin with the former name of the package, because they appear in recorded logs and in answers to
// operators.
var (
	// ErrOutcomeUnknown means that the value may or may not be decided: read the register, then act on its contents.
	ErrOutcomeUnknown = errs.Class("agree: in doubt, read it again")
	// ErrNoQuorum means that no majority of the voters answered in time and that nothing was written: try again from a
	// process that can reach a majority.
	ErrNoQuorum = errs.Class("agree: no majority answered, nothing written, try again")
	// ErrNoState means that this process knows no decided State yet: request it from a voter, or wait for one.
	ErrNoState = errs.Class("agree: nothing known of the register yet, ask a voter")
	// ErrQueueFull means that too many operations are queued at this Register.
	ErrQueueFull = errs.Class("agree: too many proposals wait, try again later")
	// ErrInvalidVoters means that a proposed State has no voters, a duplicate voter or a voter without an ID.
	ErrInvalidVoters = errs.Class("agree: voters that can't decide, name each once and with its identity")
	// ErrUnchanged is returned by a change that has nothing to write: the proposal then ends without an error, with the
	// State that was passed to the change.
	ErrUnchanged = errs.New("agree: unchanged")
)

// Errors of the disk.
var (
	// ErrCorrupt means that the saved records can't be read: a node must not vote with this disk. An emptied disk joins
	// as a new voter.
	ErrCorrupt = errs.Class("agree: saved records are corrupt, empty this disk")
	// ErrNotSaved is returned by Save if it failed without changing the disk, for example because the disk is full. Save
	// is called again later.
	ErrNotSaved = errs.Class("agree: nothing was saved, make room on the disk")
)
