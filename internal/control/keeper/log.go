package keeper

import (
	"errors"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
)

// rewritePolicy says when the log is rewritten.
type rewritePolicy struct {
	// diskBytes is the size of the disk; 0: it is not known.
	diskBytes int64
}

// due is the size at which a log is rewritten that had so many bytes after it was rewritten last.
func (p rewritePolicy) due(rewritten int64) int64 {
	due := max(rewriteAbove, 4*rewritten)
	if p.diskBytes > 0 {
		due = min(due, p.most(rewritten))
	}
	return due
}

// most is the size that the log does not go beyond as long as it can be rewritten: with the rewritten one beside it, the
// disk is three quarters full. Where that leaves no room to grow, a quarter of what has to be kept is taken.
func (p rewritePolicy) most(rewritten int64) int64 {
	return max(p.diskBytes/4*3-rewritten, rewritten+rewritten/4)
}

func (a *agreement) identity() []byte {
	w := link.Writer{}
	w.U8(recordIdentity)
	w.U64(a.id)
	return w.B
}

func registerRecord(name string, payload []byte) []byte {
	w := link.Writer{}
	w.U8(recordRegister)
	w.String(name)
	w.Bytes(payload)
	return w.B
}

// firstVoters is the record of the voters of the very first start. It is written before the registers are, each of which has a record
// of its own: a process that ends between two of these goes on where it was.
func firstVoters(voters []paxos.Voter) []byte {
	w := link.Writer{}
	w.U8(recordFirstVoters)
	w.U32(uint32(len(voters)))
	for _, v := range voters {
		w.U64(v.ID)
		w.String(v.Name)
		w.String(v.Addr)
	}
	return w.B
}

// bootstrapRest makes the first State of registers that the first start did not come to.
func (a *agreement) bootstrapRest() {
	if len(a.first) == 0 {
		return
	}
	for _, name := range registerNames {
		a.regs[name].Bootstrap(a.first, nil)
	}
	a.booted = true
}

func (a *agreement) replay(b []byte) error {
	r := link.Reader{B: append([]byte(nil), b...)}
	switch r.U8() {
	case recordIdentity:
		a.id = r.U64()
	case recordRegister:
		name := r.String()
		a.saved[name] = append(a.saved[name], r.Bytes())
	case recordFirstVoters:
		for range r.Count(16) {
			a.first = append(a.first, paxos.Voter{ID: r.U64(), Name: r.String(), Addr: r.String()})
		}
	}
	return r.Err
}

// append saves a record. An agree.ErrNotSaved says that the log is as it was.
func (a *agreement) append(b []byte) error {
	if a.log == nil {
		return errors.New("no disk")
	}
	if a.log.Size()+int64(len(b)) > a.policy.due(a.grown) {
		a.rewrite() // the registers' state is that before b: nothing of b is lost by it
	}
	_, err := a.log.Append(b)
	if err != nil && !recordlog.Failed.Has(err) && a.shrink() {
		_, err = a.log.Append(b)
	}
	if err != nil && !recordlog.Failed.Has(err) {
		return paxos.ErrNotSaved.Wrap(err)
	}
	if err != nil {
		return err
	}
	return a.log.Sync()
}

// shrink makes room on a disk that is full, where the log has some that it does not need. It tells whether it did.
func (a *agreement) shrink() bool {
	before := a.log.Size()
	a.rewrite()
	a.later = time.Now().Add(rewriteAgain)
	return a.log.Size() < before
}

// rewriteWhenGrown rewrites a log that has grown since it was rewritten.
func (a *agreement) rewriteWhenGrown() {
	if a.log != nil && a.log.Size() >= a.policy.due(a.grown) {
		a.rewrite()
	}
}

// rewrite puts what the registers hold in the place of the log. If it fails, the log is as it was, or out of use.
func (a *agreement) rewrite() {
	if time.Now().Before(a.later) {
		return
	}
	err := a.log.Rewrite(func(add func([]byte) (int64, error)) error {
		if _, err := add(a.identity()); err != nil {
			return err
		}
		for _, name := range registerNames {
			if a.regs[name] == nil { // the log is being opened
				return errors.New("not all registers are there yet")
			}
			for _, p := range a.regs[name].Snapshot() {
				if _, err := add(registerRecord(name, p)); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		a.k.log.Error("log not rewritten", "err", err)
		a.later = time.Now().Add(rewriteAgain)
		return
	}
	a.grown = a.log.Size()
}

// noteStored takes down, for other goroutines, what is on disk, and logs once that nothing can be saved, and once that
// it can again.
func (a *agreement) noteStored() {
	var unsaved error
	a.mu.Lock()
	for _, name := range registerNames {
		if slot, there := a.regs[name].Stored(); there {
			a.stored[name] = slot + 1
		}
		if err := a.regs[name].Unsaved(); err != nil {
			unsaved = err
		}
	}
	before := a.unsaved
	a.unsaved = unsaved
	a.mu.Unlock()
	switch {
	case before == nil && unsaved != nil:
		a.k.log.Error("disk takes nothing: no votes and no promises until it does", "file", logName, "err", unsaved)
	case before != nil && unsaved == nil:
		a.k.log.Info("disk takes records again", "file", logName)
	}
}

// diskTrouble tells why nothing can be saved at present; empty: nothing is wrong.
func (a *agreement) diskTrouble() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unsaved == nil {
		return ""
	}
	return a.unsaved.Error()
}
