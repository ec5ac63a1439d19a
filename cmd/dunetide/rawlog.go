package main

import (
	"wingmount/internal/batch"
	"wingmount/internal/journal"
	"wingmount/internal/record"
)

// rawLog counts places from the beginning of payloads. It goes once stores count as logs do.
type rawLog struct{ *record.Log }

func openRawLog(folder journal.Folder, name string, replay func([]byte, int64) error) (batch.Log, error) {
	l, err := record.Open(folder, name, func(b []byte, at int64) error { return replay(b, at-int64(len(b))) })
	if err != nil {
		return nil, err
	}
	return rawLog{l}, nil
}

func (l rawLog) Append(b []byte) (int64, error) {
	at, err := l.Log.Append(b)
	return at - int64(len(b)), err
}

func (l rawLog) ReadAt(at int64, n int) ([]byte, error) { return l.ReadRaw(at, n) }

func (l rawLog) SyncTo(int64) error { return l.Sync() }

func (l rawLog) Rewrite(write func(add func([]byte) (int64, error)) error) error {
	return l.Log.Rewrite(func(add func([]byte) (int64, error)) error {
		return write(func(b []byte) (int64, error) {
			at, err := add(b)
			return at - int64(len(b)), err
		})
	})
}
