package batch

// wrongLine is a mistake put in on purpose, for tests that must find it.
type wrongLine uint8

const (
	noWrong wrongLine = iota
	wrongOldBallots
	wrongAckEarly
	wrongOwnState
	wrongFewCollected
	wrongOneDisk
	wrongUnsure
	wrongNoReserve
	wrongNoCount
	wrongListTwice
)
