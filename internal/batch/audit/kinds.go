package audit

import "dunetide/internal/platform/link"

// The kinds of messages on links to stores, all of them here. Those of batch jobs end before them.
const (
	kAppend link.Kind = 200 // call, proxy to store: documents (version, text), entries; empty reply once they are on disk
)

// Handles tells whether a kind of message is one of the record of regulated runs.
func Handles(k link.Kind) bool { return k == kAppend }
