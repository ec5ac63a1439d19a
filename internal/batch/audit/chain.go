package audit

import (
	"crypto/sha256"
	"errors"
)

// recordHash is the hash of a record: over the hash of the previous record and the record's entry.
type recordHash [sha256.Size]byte

// errBrokenChain reports that a record does not hold the hash of the previous record.
var errBrokenChain = errors.New("the record does not hold the hash of the one before")

// chainRecord returns a record in the form that files have, the previous record's hash followed by the entry, and the
// record's own hash.
func chainRecord(before recordHash, entry []byte) (record []byte, hash recordHash) {
	record = make([]byte, 0, len(before)+len(entry))
	record = append(record, before[:]...)
	record = append(record, entry...)
	return record, sha256.Sum256(record)
}

// unchainRecord verifies that a record holds the hash of the previous one, and returns its entry and its own hash.
func unchainRecord(before recordHash, record []byte) (entry []byte, hash recordHash, err error) {
	if len(record) <= len(before) || recordHash(record[:len(before)]) != before {
		return nil, before, errBrokenChain
	}
	return record[len(before):], sha256.Sum256(record), nil
}

// hashBefore returns the hash that the first record of a file holds: that of the last record of the previous file.
func hashBefore(record []byte) (recordHash, error) {
	if len(record) < len(recordHash{}) {
		return recordHash{}, errBrokenChain
	}
	return recordHash(record[:len(recordHash{})]), nil
}
