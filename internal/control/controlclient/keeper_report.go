package controlclient

import "dunetide/internal/platform/link"

// KeeperReport is what a keeper reports of itself to the others, at least once per heartbeat interval, and at once
// after each change.
type KeeperReport struct {
	// InContact says that a majority of the voters has answered the sender recently enough for it to serve.
	InContact bool
	// Stopping says that the sender has been told to stop and transfers its seats as a voter.
	Stopping bool
	// DecidedSlots are the newest decided slots that the sender has stored, in the order in which the registers are
	// declared: the slot plus one, and 0 where it knows none.
	DecidedSlots []uint64
	// ConnectedVoters are the IDs of the voters to which the sender has a link, and its own if it votes. Other keepers are
	// left out: nothing depends on them, and there may be many.
	ConnectedVoters []uint64
}

// Append appends the encoding of a report to a message.
func (report KeeperReport) Append(w *link.Writer) {
	w.Bool(report.InContact)
	w.Bool(report.Stopping)
	appendNumbers(w, report.DecidedSlots)
	appendNumbers(w, report.ConnectedVoters)
}

// ReadKeeperReport reads a report from a message. The reader's Err says whether it is whole.
func ReadKeeperReport(r *link.Reader) KeeperReport {
	return KeeperReport{
		InContact:       r.Bool(),
		Stopping:        r.Bool(),
		DecidedSlots:    readNumbers(r),
		ConnectedVoters: readNumbers(r),
	}
}
