package audit

import (
	"crypto/sha256"
	"errors"
)

// recordHash is the hash of a record: of the hash of the record before and its entry.
type recordHash [sha256.Size]byte

// errBrokenChain is about a record that does not follow the one before it.
var errBrokenChain = errors.New("the record does not hold the hash of the one before")

// chainRecord returns a record as it stands in a file, the hash of the one before and then the entry, and its own
// hash.
func chainRecord(before recordHash, entry []byte) (record []byte, hash recordHash) {
	record = make([]byte, 0, len(before)+len(entry))
	record = append(record, before[:]...)
	record = append(record, entry...)
	return record, sha256.Sum256(record)
}

// unchainRecord returns the entry of a record, which has to hold the hash of the one before, and the record's own
// hash.
func unchainRecord(before recordHash, record []byte) (entry []byte, hash recordHash, err error) {
	if len(record) <= len(before) || recordHash(record[:len(before)]) != before {
		return nil, before, errBrokenChain
	}
	return record[len(before):], sha256.Sum256(record), nil
}

// hashBefore returns the hash that the first record of a file holds: that of the last record of the file before.
func hashBefore(record []byte) (recordHash, error) {
	if len(record) < len(recordHash{}) {
		return recordHash{}, errBrokenChain
	}
	return recordHash(record[:len(recordHash{})]), nil
}
