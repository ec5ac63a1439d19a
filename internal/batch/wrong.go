package batch

// wrongLine is a mistake put in on purpose, for tests that must find it.
type wrongLine uint8

const (
	noWrong           wrongLine = iota
	wrongOldBallots             // a copy follows a primary that has been replaced
	wrongAckEarly               // a copy acknowledges before its disk has it
	wrongOwnState               // a new primary goes on with what it has itself
	wrongFewCollected           // a new primary asks nobody
	wrongOneDisk                // one disk is enough
	wrongUnsure                 // a primary answers that may have been replaced
	wrongNoReserve              // the owner of a quota forgets what it granted
	wrongNoCount                // a new owner of a quota doesn't count anew
	wrongEarlyRead              // a position may be read before it is on enough disks
	wrongRefusal                // what may have been kept is answered as if it had not
	wrongLines
)

func (w wrongLine) String() string {
	return [...]string{"none", "old ballots", "ack early", "own state", "few collected", "one disk", "unsure", "no reserve", "no count", "early read", "refusal"}[w]
}
