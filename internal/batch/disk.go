package batch

// disk is the log of a store as its core uses it: records that are appended. Offsets are those of a
// record's first byte.
type disk interface {
	Append(record []byte) (offset int64, err error)
	// ReadRaw reads bytes inside a record without checking them.
	ReadRaw(offset int64, length int) ([]byte, error)
	Size() int64
	segmented
}

// segmented is how a log gives space back: it consists of segments, see segments.go.
type segmented interface {
	// NewestSize is how many bytes the segment has that is appended to.
	NewestSize() int64
	// Oldest is the number of the oldest segment, and whether there is a newer one.
	Oldest() (number int64, more bool)
	// Rotate makes all that was appended durable and begins a new segment.
	Rotate() error
	// DropOldest makes all that was appended durable and removes the oldest segment.
	DropOldest() error
}

// Log is the log of a store as OpenLog returns it. Offsets that Append returns, and that are passed
// to SyncTo, are those behind a record.
type Log interface {
	Append(record []byte) (end int64, err error)
	// ReadRaw reads bytes inside a record without checking them. The offset is that of the first byte.
	ReadRaw(offset int64, length int) ([]byte, error)
	Size() int64
	segmented
	// SyncTo returns when all up to an offset is durable.
	SyncTo(end int64) error
}
