package batch

// disk is the log of a store as its core uses it: append-only records. An offset is that of a
// record's first byte.
type disk interface {
	Append(record []byte) (offset int64, err error)
	// ReadRaw reads bytes inside a record without verifying them.
	ReadRaw(offset int64, length int) ([]byte, error)
	Size() int64
	segmented
}

// segmented is how a log frees space: it consists of segments, see segments.go.
type segmented interface {
	// NewestSize returns the size in bytes of the segment that records are appended to.
	NewestSize() int64
	// Oldest returns the number of the oldest segment, and whether there is a newer one.
	Oldest() (number int64, more bool)
	// Rotate makes all appended records durable and begins a new segment.
	Rotate() error
	// DropOldest makes all appended records durable and removes the oldest segment.
	DropOldest() error
}

// Log is the log of a store as OpenLog returns it. The offsets that Append returns and SyncTo takes
// are those of the end of a record.
type Log interface {
	Append(record []byte) (end int64, err error)
	// ReadRaw reads bytes inside a record without verifying them. The offset is that of the first
	// byte.
	ReadRaw(offset int64, length int) ([]byte, error)
	Size() int64
	segmented
	// SyncTo returns once everything up to an offset is durable.
	SyncTo(end int64) error
}
