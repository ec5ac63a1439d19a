package controlclient

import "dunetide/internal/platform/link"

// KeeperReport is what a keeper tells the others of itself, at least once per heartbeat interval and at once after each change.
type KeeperReport struct {
	// InContact says that a majority of the voters has answered the sender recently enough for it to serve.
	InContact bool
	// Leaving says that the sender has been told to stop and hands over its seats.
	Stopping bool
	// Slots tell the newest decided slots that the sender has stored, by the order in which the registers are declared:
	// the slot plus one, and 0 where it knows none.
	DecidedSlots []uint64
	// Heard are the identities of the voters with which the sender has a link, and its own if it votes. Those of other
	// keepers are left out: nothing depends on them, and there may be many.
	ConnectedVoters []uint64
}

// Append writes a report into a message.
func (report KeeperReport) Append(w *link.Writer) {
	w.Bool(report.InContact)
	w.Bool(report.Stopping)
	appendNumbers(w, report.DecidedSlots)
	appendNumbers(w, report.ConnectedVoters)
}

// ReadKeeperReport takes a report out of a message.
func ReadKeeperReport(r *link.Reader) KeeperReport {
	return KeeperReport{InContact: r.Bool(), Stopping: r.Bool(), DecidedSlots: readNumbers(r), ConnectedVoters: readNumbers(r)}
}

func appendNumbers(w *link.Writer, numbers []uint64) {
	w.U32(uint32(len(numbers)))
	for _, n := range numbers {
		w.U64(n)
	}
}

func readNumbers(r *link.Reader) (numbers []uint64) {
	for range r.Count(8) {
		numbers = append(numbers, r.U64())
	}
	return numbers
}
