package batch

import "dunetide/internal/platform/link"

// The kinds of messages, all of them here. Fields are written with link.Writer in the order given.
// A ballot is a part's epoch with the number of the leading life in that epoch (see ballotOf).
const (
	// Calls of an edge to a part's primary. The reply begins with a code.

	kHello  link.Kind = 100 + iota // nothing -> identity of the store
	kAccept                        // encoded job -> code
	kRead                          // job, start_after, wait ms -> code, total, count, (item, given up, text)
	kBody                          // job, item -> code, bytes
	kEnd                           // job -> code

	// Between a worker and a store.

	kAttach    // worker: name, zone, limit of items in hand from this store
	kHold      // worker: part, epoch, count, (job, item): what it has in hand of a part whose primary is new to it
	kHeld      // store: part, epoch (0: any): that is noted, and what has ended of it was said before
	kUnsure    // store: part: this store may have been replaced, so nothing of the part is to start
	kGive      // store: part, epoch, job, item number, dueMs, tries, route, host, item id, tokens, segment, leftMs (giveMessage)
	kResult    // worker: part, job, item number, given up, text
	kListed    // store: part, job, item number: the result is kept, or is not wanted
	kCancel    // store: part, job: the job has ended
	kCancelled // worker: part, job: nothing of it starts any more
	kPutBack   // worker: part, job, item number: will not be run here

	// From the primary of a part to those who hold it, and back.

	kAsk       // part, ballot, session: promise, and tell what you have
	kHave      // part, ballot, session, claim ballot, claim seq, count, (job, digest)
	kFetch     // part, ballot, job: send the job whole
	kWhole     // part, ballot, job, found, whole job (core.whole)
	kPut       // part, ballot, session, whole job: takes the place of what there is
	kPutAck    // part, ballot, session
	kMark      // part, ballot, session, seq: you have all up to seq now
	kOp        // part, ballot, session, seq (0: before the mark), operation
	kAck       // part, ballot, seq, full: on disk up to there; whether there is no room for more jobs
	kStale     // part, ballot that is known: you have been replaced
	kConfirm   // part, ballot, stamp
	kConfirmed // part, ballot, stamp, full: nothing newer is known here; whether there is no room for more jobs

	// Between the primary of a part and the owner of a route's quota (the primary of the part that the route hashes to).

	kReserve  // route, part, life, number, tokens, most
	kGrant    // route, part, life, number, code, owner's life
	kUsage    // route, part, life, epoch, version, tokens, settled number
	kUsageAsk // route, part, owner's life
)

// Codes of replies.
const (
	codeOK          uint8 = 1 + iota
	codeNone              // no such job or item, for sure
	codeFull              // the quota has no room
	codeUnavailable       // not done, and it won't be
	codeUnknown           // may have been done
	codeNoRoom            // not done, and it won't be for some time: a disk is full
)
