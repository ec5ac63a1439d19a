package batch

import "dunetide/internal/platform/link"

// The kinds of messages between proxies, workers and stores. Their numbers and layouts are on the
// wire and stay as they are; testdata/golden has an example of each. Fields are written with
// link.Writer in the order given. "partition" is its index (u32), "term" see firstTerm, times are
// in ms.
const (
	// Calls of a proxy to the primary of a partition. Each reply but the first one begins with a code.

	kindHello     link.Kind = 100 + iota // (nothing) -> identity of the store
	kindAcceptJob                        // encoded job -> code
	// job ID, index of the first result, ms to wait -> code, total, count, (item ID, abandoned, text)
	kindReadResults
	kindReadItemBody // job ID, item ID -> code, body
	kindEndJob       // job ID -> code

	// Between a worker, which runs items at a proxy, and a store.

	kindAttachWorker // worker: name, zone, the most items that this store may have assigned to it at a time
	// worker: partition, epoch, count, (job ID, item index): the items of the partition that it has, for a new primary
	kindReportRunning
	// store: partition, epoch of the report (0: any): the report is noted, and ends of jobs since then have been sent
	kindRunningNoted
	// store: partition: it may have been replaced as the primary, so no item of the partition may be started
	kindPauseStarts
	kindAssignItem   // store: assignMessage
	kindItemResult   // worker: partition, job ID, item index, abandoned, text
	kindResultStored // store: partition, job ID, item index: the result is stored, or is not needed any more
	kindCancelJob    // store: partition, job ID: the job has ended
	kindJobCancelled // worker: partition, job ID: none of its items will be started
	kindReturnItem   // worker: partition, job ID, item index: it will not be run by this worker

	// Between the primary of a partition and its replicas. All begin with partition and term.

	kindPrepare      // session: promise to follow no older term, and report what you have
	kindPromise      // session, logPosition, count, (job ID, digest)
	kindFetchJob     // job ID: send the job with its results
	kindJobContents  // job ID, found, whole job (see core.encodeWholeJob)
	kindInstallJob   // session, whole job: replace what you have of it
	kindJobInstalled // session
	kindStartTerm    // session, sequence number: you now have all up to that operation
	kindOperation    // session, sequence number (0: sent before kindStartTerm), operation
	kindOperationAck // sequence number, log full: durable up to that operation; whether there is no space for more jobs
	kindStaleTerm    // (no more fields): the term is the newer one that is known here; the receiver has been replaced
	kindConfirm      // stamp: has this term been replaced?
	kindConfirmed    // stamp, log full: no newer term is known here; whether there is no space for more jobs

	// Between the primary of a partition and the owner of a route's quota: the primary of the
	// partition that the route hashes to. All begin with route, partition, and the primary's
	// incarnation.

	kindReserveTokens    // number, tokens, the most tokens that may wait
	kindReservationReply // number, code, the owner's incarnation
	kindUsageReport      // epoch, version, tokens, the reservation up to which all are resolved
	kindUsageRequest     // (the incarnation is the owner's): report the usage
)

// Handles reports whether a kind of message is one of batch jobs.
func Handles(k link.Kind) bool { return k >= kindHello && k <= kindUsageRequest }

// Codes of replies. They are on the wire.
const (
	codeOK          uint8 = 1 + iota
	codeNotFound          // there is no such job or item; confirmed by the replicas
	codeQuotaFull         // not done: the route's quota of tokens is used up
	codeUnavailable       // not done, and it will not be
	codeUnknown           // it may have been done
	codeLogFull           // not done, and it will not be for some time: the log of this store or of a replica is full
)

// encodeReadResults is kindReadResults.
func encodeReadResults(jobID string, startAfter int, waitMs int64) []byte {
	w := link.Writer{Buf: make([]byte, 0, 4+len(jobID)+16)}
	w.String(jobID)
	w.Int(startAfter)
	w.Int(int(waitMs))
	return w.Buf
}

// encodeReadItemBody is kindReadItemBody.
func encodeReadItemBody(jobID, itemID string) []byte {
	w := link.Writer{Buf: make([]byte, 0, 8+len(jobID)+len(itemID))}
	w.String(jobID)
	w.String(itemID)
	return w.Buf
}

// encodeEndJob is kindEndJob.
func encodeEndJob(jobID string) []byte {
	var w link.Writer
	w.String(jobID)
	return w.Buf
}

// encodeAttachWorker is kindAttachWorker.
func encodeAttachWorker(name, zone string, limit int) []byte {
	w := link.Writer{Buf: make([]byte, 0, 16+len(name)+len(zone))}
	w.String(name)
	w.String(zone)
	w.Int(limit)
	return w.Buf
}

// encodeReportRunning is kindReportRunning. The keys are those of items of the partition.
func encodeReportRunning(partition int, epoch uint64, keys []itemKey) []byte {
	w := encodeTermMessage(4, partition, epoch)
	w.U32(uint32(len(keys)))
	for _, key := range keys {
		w.String(key.jobID)
		w.U32(uint32(key.index))
	}
	return w.Buf
}

// encodeItemResult is kindItemResult.
func encodeItemResult(key itemKey, abandoned bool, text []byte) []byte {
	w := link.Writer{Buf: make([]byte, 0, 17+len(key.jobID)+len(text))}
	w.U32(uint32(key.partition))
	w.String(key.jobID)
	w.U32(uint32(key.index))
	w.Bool(abandoned)
	w.Bytes(text)
	return w.Buf
}

// encodeTermMessage begins a message between a primary and its replicas: a partition, a term and
// more numbers. The capacity has space for so many more bytes.
func encodeTermMessage(more, partition int, numbers ...uint64) link.Writer {
	w := link.Writer{Buf: make([]byte, 0, 4+8*len(numbers)+more)}
	w.U32(uint32(partition))
	for _, n := range numbers {
		w.U64(n)
	}
	return w
}

// encodeJobRef is the message that names a job: kindCancelJob.
func encodeJobRef(partition int, jobID string) []byte {
	w := link.Writer{Buf: make([]byte, 0, 8+len(jobID))}
	w.U32(uint32(partition))
	w.String(jobID)
	return w.Buf
}

// encodeItemRef is the message that names an item: kindResultStored and kindReturnItem.
func encodeItemRef(key itemKey) []byte {
	w := link.Writer{Buf: make([]byte, 0, 12+len(key.jobID))}
	w.U32(uint32(key.partition))
	w.String(key.jobID)
	w.U32(uint32(key.index))
	return w.Buf
}

// encodeRunningNoted is kindRunningNoted. Epoch 0 answers reports under any epoch.
func encodeRunningNoted(partition int, epoch uint64) []byte {
	return encodeTermMessage(0, partition, epoch).Buf
}

// encodeStartsPaused is kindPauseStarts.
func encodeStartsPaused(partition int) []byte { return encodeTermMessage(0, partition).Buf }
