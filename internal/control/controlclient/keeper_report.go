package controlclient

import "dunetide/internal/platform/link"

// KeeperReport is the state that a keeper reports to the other keepers, at least once per heartbeat interval, and
// immediately after each change.
type KeeperReport struct {
	// InContact reports that a majority of the voters has replied to the sender recently enough for it to serve.
	InContact bool
	// Stopping reports that the sender is shutting down and transfers its voter roles to other keepers.
	Stopping bool
	// DecidedSlots are the newest decided slots that the sender has stored, by register in the order of their
	// declaration: the slot plus one, or 0 if it has none.
	DecidedSlots []uint64
	// ConnectedVoters are the IDs of the voters to which the sender has a link, and its own if it is a voter. Keepers that
	// are not voters are omitted: nothing depends on them, and there may be many.
	ConnectedVoters []uint64
}

// Append appends the encoding of a report to a message.
func (report KeeperReport) Append(w *link.Writer) {
	w.Bool(report.InContact)
	w.Bool(report.Stopping)
	appendNumbers(w, report.DecidedSlots)
	appendNumbers(w, report.ConnectedVoters)
}

// ReadKeeperReport decodes a report from a message. The reader's Err is set if the message is truncated.
func ReadKeeperReport(r *link.Reader) KeeperReport {
	return KeeperReport{
		InContact:       r.Bool(),
		Stopping:        r.Bool(),
		DecidedSlots:    readNumbers(r),
		ConnectedVoters: readNumbers(r),
	}
}
