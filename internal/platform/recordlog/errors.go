package recordlog

import (
	"errors"
	"syscall"

	"github.com/zeebo/errs"
)

// Classes of errors, which callers distinguish with the method Has.
var (
	// ErrDamaged: the disk has lost or changed synced data. The file is left unchanged for inspection.
	ErrDamaged = errs.Class("damaged records")
	// ErrUnusable: a disk operation of the log has failed, or the log was closed. All later calls fail with it.
	ErrUnusable = errs.Class("the log is out of use")
	// ErrNoRecord: the position is from before a Rewrite, or was never that of a record.
	ErrNoRecord = errs.Class("no record at this position")
)

var errClosed = errors.New("the log was closed")

// IsDiskFull reports whether an error means that the disk or a quota is full. The log remains usable.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// unusable makes the log unusable; the first reason is kept. It is called with mu locked.
func (l *Log) unusable(reason error) error {
	if l.failure == nil {
		l.failure = ErrUnusable.New("%s: %w", l.name, reason)
	}
	return l.failure
}

// damaged returns the error for a disk that has lost or changed the data at an offset of the file.
func (l *Log) damaged(offset int64, reason string) error {
	return ErrDamaged.New("%s at byte %d: %s; move the file away and start again: the node then begins with "+
		"an empty disk, and takes what it held from the others", l.name, offset, reason)
}
