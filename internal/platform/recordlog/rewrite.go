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
	// rewriteSuffix is appended to the log's name for the file that is to replace the log's file.
	rewriteSuffix = ".new"
	// rewriteBuffer is the size in bytes of the write buffer of a rewrite.
	rewriteBuffer = 64 << 10
)

// Rewrite replaces all records by those that write passes to add, which returns the position of each. It blocks
// appends but neither reads nor syncs, and the old positions are valid until it returns. write must not call Append.
// After an error other than ErrUnusable the log is unchanged.
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
		err = next.file.Sync() // a full disk may be reported only here
	}
	if err != nil {
		return errors.Join(fmt.Errorf("rewriting: %w", err), next.file.Close(), l.removeReplacement())
	}
	return l.replaceBy(next)
}

// createReplacement creates a replacement for the log's file, without any records.
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

// removeReplacement removes a replacement file. If that fails, the next rewrite retries it.
func (l *Log) removeReplacement() error {
	err := l.folder.Remove(l.name + rewriteSuffix)
	l.rewriteLeftover = err != nil && !errors.Is(err, fs.ErrNotExist)
	return err
}

// installReplacement durably renames a synced file of createReplacement to the name of the log.
func (l *Log) installReplacement() error {
	if err := l.folder.Rename(l.name+rewriteSuffix, l.name); err != nil {
		return err
	}
	return l.folder.Sync()
}

// replaceBy switches the log to a file that is written and synced. If the rename fails the log becomes unusable, as
// it is unknown which of the two files has its name after a power loss.
func (l *Log) replaceBy(next currentFile) error {
	l.mu.Lock()
	for l.syncing {
		l.syncDone.Wait()
	}
	l.syncing = true // blocks syncs of the old file: they would acknowledge records that the new one may not contain
	l.mu.Unlock()
	err := l.installReplacement()

	l.readMu.Lock()
	defer l.readMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncing = false
	l.syncDone.Broadcast()
	if l.failure == nil && err != nil {
		_ = l.unusable(fmt.Errorf("rewriting: %w", err)) // returned below
	}
	if l.failure != nil {
		return errors.Join(l.failure, next.file.Close())
	}
	old := l.file
	l.currentFile, l.syncedSize = next, next.size
	_ = old.Close() // its content is obsolete
	return nil
}
