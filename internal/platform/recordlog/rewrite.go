package recordlog

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"

	"dunetide/internal/platform/frame"
)

const (
	// rewriteSuffix stands behind the log's name in that of a file that is to replace the log's.
	rewriteSuffix = ".new"
	// rewriteBuffer is how many bytes a rewrite collects for one write.
	rewriteBuffer = 64 << 10
)

// Rewrite replaces all records by those that write passes to add, which returns the position of each. Appends wait
// meanwhile; reads and syncs don't, and the old positions are valid until Rewrite returns. Write must not call
// Append. After an error that isn't ErrUnusable the log is as it was.
func (l *Log) Rewrite(write func(add func(payload []byte) (position int64, err error)) error) error {
	l.appendMu.Lock()
	defer l.appendMu.Unlock()
	l.mu.Lock()
	base, failure := l.end(), l.failure
	l.mu.Unlock()
	if failure != nil {
		return failure
	}
	next, err := l.createReplacement(base)
	if err != nil {
		return fmt.Errorf("rewriting: %w", err)
	}
	out := bufio.NewWriterSize(next.file, rewriteBuffer)
	err = write(func(payload []byte) (int64, error) {
		if err := checkLength(payload); err != nil {
			return 0, err
		}
		n, err := out.Write(l.encode(next, payload, 0))
		if err != nil {
			return 0, err
		}
		next.size += int64(n)
		return next.end(), nil
	})
	if err == nil {
		err = out.Flush()
	}
	if err == nil {
		err = next.file.Sync() // a full disk may show here, too
	}
	if err != nil {
		return errors.Join(fmt.Errorf("rewriting: %w", err), next.file.Close(), l.removeReplacement())
	}
	return l.replaceBy(next)
}

// createReplacement creates a file that is to replace the log's, without any record.
func (l *Log) createReplacement(base int64) (currentFile, error) {
	name := l.name + rewriteSuffix
	if l.rewriteLeftover {
		if err := l.removeReplacement(); l.rewriteLeftover {
			return currentFile{}, err
		}
	}
	f, err := l.folder.Create(name)
	if err != nil {
		return currentFile{}, err
	}
	next := currentFile{
		frames: frame.NewFormat(uint64(base), rand.Uint64()),
		base:   base,
		size:   frame.HeadersSize,
	}
	_, err = f.Write(next.frames.Header())
	if err = errors.Join(err, f.Close()); err != nil {
		return currentFile{}, errors.Join(err, l.removeReplacement())
	}
	if next.file, err = l.folder.Open(name); err != nil {
		return currentFile{}, errors.Join(err, l.removeReplacement())
	}
	return next, nil
}

// removeReplacement removes a file that was to replace the log's. If that fails it is tried again before the next
// rewrite.
func (l *Log) removeReplacement() error {
	err := l.folder.Remove(l.name + rewriteSuffix)
	l.rewriteLeftover = err != nil && !errors.Is(err, fs.ErrNotExist)
	return err
}

// installReplacement gives a file of createReplacement, which is synced, the name of the log, durably.
func (l *Log) installReplacement() error {
	if err := l.folder.Rename(l.name+rewriteSuffix, l.name); err != nil {
		return err
	}
	return l.folder.Sync()
}

// replaceBy takes a file into use that is written and synced. If the rename fails the log is out of use, as nobody
// can tell which of the two files has its name after a loss of power.
func (l *Log) replaceBy(next currentFile) error {
	l.mu.Lock()
	for l.syncing {
		l.syncDone.Wait()
	}
	l.syncing = true // keeps syncs of the old file from starting: they would acknowledge what the new one may not have
	l.mu.Unlock()
	err := l.installReplacement()

	l.readMu.Lock()
	defer l.readMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncing = false
	l.syncDone.Broadcast()
	if l.failure == nil && err != nil {
		_ = l.unusable(fmt.Errorf("rewriting: %w", err)) // it is returned below
	}
	if l.failure != nil {
		return errors.Join(l.failure, next.file.Close())
	}
	old := l.file
	l.currentFile, l.syncedSize = next, next.size
	_ = old.Close() // nothing in it counts any more
	return nil
}
