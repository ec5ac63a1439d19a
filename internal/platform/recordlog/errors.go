package recordlog

import (
	"errors"
	"syscall"

	"github.com/zeebo/errs"
)

// The classes of errors that callers tell apart, with their method Has.
var (
	// ErrDamaged: the disk has lost or changed what was synced. The file is left as it is, for whoever looks into it.
	ErrDamaged = errs.Class("damaged records")
	// ErrUnusable: the disk failed under the log, or the log was closed. All calls fail with it from then on.
	ErrUnusable = errs.Class("the log is out of use")
	// ErrNoRecord: the position is one that a Rewrite has left behind, or was never that of a record.
	ErrNoRecord = errs.Class("no record there")
)

var errClosed = errors.New("it was closed")

// IsDiskFull reports whether an error came from a disk or a quota that is full. The log is usable still.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// unusable takes the log out of use for a reason, the first of which stays. It is called with mu locked.
func (l *Log) unusable(reason error) error {
	if l.failure == nil {
		l.failure = ErrUnusable.New("%s: %w", l.name, reason)
	}
	return l.failure
}

// damaged returns the error of a file whose disk has lost or changed what stood at an offset.
func (l *Log) damaged(offset int64, reason string) error {
	return ErrDamaged.New("%s at byte %d: %s; move the file away and start again: the node then begins with "+
		"an empty disk, and takes what it held from the others", l.name, offset, reason)
}
