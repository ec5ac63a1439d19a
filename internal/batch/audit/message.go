package audit

import (
	"slices"

	"dunetide/internal/platform/link"
)

// kindAppend is the one kind of message of the record of regulated runs on links to stores: a call by a proxy, with
// texts of certificates and entries; its reply is empty, and comes once they are on disk. The numbers of batch jobs'
// messages are lower.
const kindAppend link.Kind = 200

// maxEntriesPerMessage is how many entries a store accepts in one message.
const maxEntriesPerMessage = 4096

// Handles reports whether messages of a kind are for a Store of this package.
func Handles(kind link.Kind) bool { return kind == kindAppend }

// encodeAppend returns the body of a message: texts of certificates in the order of their versions, then entries.
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
