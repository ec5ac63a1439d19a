package keeper

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/registry"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs"
)

// logName is the name of the registers' log in the keeper's folder.
const logName = "keeper.log"

// Kinds of records in the log; each record begins with its kind. The values are stored on disk.
const (
	recordIdentity    = 1 // this keeper's identity as a voter
	recordRegister    = 2 // a register's name and one of its payloads
	recordFirstVoters = 3 // the initial voters, of the first start
	recordEnds        = 4 // draining and removed endpoints, encoded as in KindEndpoints
)

const (
	// minRewriteSize is the minimum size at which the log is rewritten, in bytes.
	minRewriteSize = 1 << 20
	// rewriteRetryDelay is the minimum time until the next rewrite after a failed one, or after one on a full disk.
	rewriteRetryDelay = 5 * time.Second
	// minVoterBytes is the encoded size of a voter with an empty name and address.
	minVoterBytes = 16
)

// Errors of the log that aren't I/O errors.
var (
	errNoDisk           = errors.New("this keeper has no disk")
	errRegistersNotOpen = errors.New("not all registers are open yet")
)

// rewritePolicy decides when the log is rewritten. All sizes are in bytes.
type rewritePolicy struct {
	// diskBytes is the size of the disk; 0: unknown.
	diskBytes int64
}

// rewriteSize returns the size at which the log is rewritten next; rewritten is its size after the last rewrite.
func (p rewritePolicy) rewriteSize(rewritten int64) int64 {
	size := max(minRewriteSize, 4*rewritten)
	if p.diskBytes > 0 {
		size = min(size, p.maxSize(rewritten))
	}
	return size
}

// maxSize is the maximum size of the log as long as it can be rewritten: the log and its rewritten copy together fill
// three quarters of the disk. If that leaves no space to grow, the log may grow by a quarter.
func (p rewritePolicy) maxSize(rewritten int64) int64 {
	return max(p.diskBytes/4*3-rewritten, rewritten+rewritten/4)
}

// openLog replays the log, and writes a new identity if it is empty.
func (rs *registerSet) openLog(folder vfs.Folder) error {
	log, err := recordlog.Open(folder, logName, func(b []byte, _ int64) error { return rs.replayRecord(b) })
	if err != nil {
		return err
	}
	rs.log = log
	if rs.id != 0 {
		return nil
	}
	if rs.id, err = newIdentity(); err != nil {
		return errors.Join(err, log.Close())
	}
	if err := rs.appendRecord(rs.identityRecord()); err != nil {
		return errors.Join(err, log.Close())
	}
	return nil
}

// closeLog closes the log. The error is ignored: the next start recovers from what is on disk.
func (rs *registerSet) closeLog() {
	if rs.log != nil {
		_ = rs.log.Close()
	}
}

func (rs *registerSet) identityRecord() []byte {
	w := link.Writer{}
	w.U8(recordIdentity)
	w.U64(rs.id)
	return w.Buf
}

func encodeRegisterRecord(name string, payload []byte) []byte {
	w := link.Writer{}
	w.U8(recordRegister)
	w.String(name)
	w.Bytes(payload)
	return w.Buf
}

func encodeFirstVotersRecord(voters []paxos.Voter) []byte {
	w := link.Writer{}
	w.U8(recordFirstVoters)
	w.U32(uint32(len(voters)))
	for _, v := range voters {
		w.U64(v.ID)
		w.String(v.Name)
		w.String(v.Addr)
	}
	return w.Buf
}

func encodeEndsRecord(entries []registry.Entry) []byte {
	return append([]byte{recordEnds}, encodeEntries(entries)...)
}

// replayRecord applies a record of the log. Records of unknown kinds are skipped.
func (rs *registerSet) replayRecord(b []byte) error {
	r := link.Reader{Buf: bytes.Clone(b)}
	switch r.U8() {
	case recordIdentity:
		rs.id = r.U64()
	case recordRegister:
		name := r.String()
		rs.replayed[name] = append(rs.replayed[name], r.Bytes())
	case recordFirstVoters:
		for range r.Count(minVoterBytes) {
			rs.firstVoters = append(rs.firstVoters, paxos.Voter{ID: r.U64(), Name: r.String(), Addr: r.String()})
		}
	case recordEnds:
		entries, err := decodeEntries(r.Buf)
		if err != nil {
			return err
		}
		rs.addEnds(entries)
	}
	return r.Err
}

// addEnds adds endpoints to the ends on disk.
func (rs *registerSet) addEnds(entries []registry.Entry) {
	for _, entry := range entries {
		joinEntry(rs.ends, entry)
	}
}

// storeEnds appends ends to the log, which must be open, and syncs it. After an error other than paxos.ErrNotSaved the
// log is unusable, and the keeper ends.
func (rs *registerSet) storeEnds(entries []registry.Entry) error {
	err := rs.appendRecord(encodeEndsRecord(entries))
	switch {
	case err == nil:
		rs.addEnds(entries)
	case !paxos.ErrNotSaved.Has(err):
		rs.logFailure = err
	}
	return err
}

// dropEnds leaves out ends from the next rewritten log.
func (rs *registerSet) dropEnds(ids []string) {
	for _, id := range ids {
		delete(rs.ends, id)
	}
}

// appendRecord appends a record and syncs the log. After a paxos.ErrNotSaved the log is unchanged; after any other
// error it is unusable.
func (rs *registerSet) appendRecord(b []byte) error {
	if rs.log == nil {
		return errNoDisk
	}
	if rs.log.Size()+int64(len(b)) > rs.rewritePolicy.rewriteSize(rs.rewrittenSize) {
		rs.rewriteLog() // writes the registers' state without b, which is appended below
	}
	_, err := rs.log.Append(b)
	if err != nil && !recordlog.ErrUnusable.Has(err) && rs.reclaimSpace() {
		_, err = rs.log.Append(b)
	}
	if err != nil && !recordlog.ErrUnusable.Has(err) {
		return paxos.ErrNotSaved.Wrap(err)
	}
	if err != nil {
		return err
	}
	return rs.log.Sync()
}

// reclaimSpace rewrites the log on a full disk. It reports whether that freed space.
func (rs *registerSet) reclaimSpace() bool {
	before := rs.log.Size()
	rs.rewriteLog()
	rs.noRewriteBefore = time.Now().Add(rewriteRetryDelay)
	return rs.log.Size() < before
}

// rewriteIfDue rewrites the log if it has grown to its rewrite size.
func (rs *registerSet) rewriteIfDue() {
	if rs.log != nil && rs.log.Size() >= rs.rewritePolicy.rewriteSize(rs.rewrittenSize) {
		rs.rewriteLog()
	}
}

// rewriteLog replaces the log by one that holds only the current state. If that fails, the log is unchanged, or
// unusable, which the next append detects.
func (rs *registerSet) rewriteLog() {
	if time.Now().Before(rs.noRewriteBefore) {
		return
	}
	if err := rs.log.Rewrite(rs.writeState); err != nil {
		rs.keeper.log.Error("log rewrite failed", "err", err)
		rs.noRewriteBefore = time.Now().Add(rewriteRetryDelay)
		return
	}
	rs.rewrittenSize = rs.log.Size()
}

// writeState writes the current state to a new log.
func (rs *registerSet) writeState(add func([]byte) (int64, error)) error {
	if _, err := add(rs.identityRecord()); err != nil {
		return err
	}
	for _, name := range registerNames {
		if rs.byName[name] == nil { // the log is being opened
			return errRegistersNotOpen
		}
		for _, payload := range rs.byName[name].Snapshot() {
			if _, err := add(encodeRegisterRecord(name, payload)); err != nil {
				return err
			}
		}
	}
	return rs.writeEnds(add)
}

// writeEnds writes the ends to a new log.
func (rs *registerSet) writeEnds(add func([]byte) (int64, error)) error {
	if len(rs.ends) == 0 {
		return nil
	}
	entries := make([]registry.Entry, 0, len(rs.ends))
	for _, id := range slices.Sorted(maps.Keys(rs.ends)) {
		entries = append(entries, rs.ends[id])
	}
	_, err := add(encodeEndsRecord(entries))
	return err
}
