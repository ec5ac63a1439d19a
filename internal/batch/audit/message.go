package audit

import (
	"slices"

	"dunetide/internal/platform/link"
)

// kindAppend is the only kind of audit message on links to stores: a call by a proxy, with texts of certificates and
// entries. Its reply is empty, and is sent once they are on disk. The kinds of batch job messages have lower numbers.
const kindAppend link.Kind = 200

// maxEntriesPerMessage is the maximum number of entries that a store accepts in one message.
const maxEntriesPerMessage = 4096

// Handles reports whether messages of a kind are for a Store of this package.
func Handles(kind link.Kind) bool { return kind == kindAppend }

// encodeAppend encodes the body of a message: texts of certificates in version order, then entries.
func encodeAppend(texts map[uint64][]byte, versions []uint64, entries [][]byte) []byte {
	slices.Sort(versions)
	w := link.Writer{}
	w.U32(uint32(len(versions)))
	for _, version := range versions {
		w.U64(version)
		w.Bytes(texts[version])
	}
	w.U32(uint32(len(entries)))
	for _, entry := range entries {
		w.Bytes(entry)
	}
	return w.Buf
}
