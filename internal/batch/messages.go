package batch

import "dunetide/internal/platform/link"

// The kinds of messages between proxies, workers and stores. Their numbers and layouts are on the
// wire and must not change; testdata/golden has an example of each. Fields are written with
// link.Writer in the given order. "partition" is its index (u32), "term" see firstTerm, times are
// in ms.
const (
	// Calls of a proxy to the primary of a partition. Each reply except that to kindHello begins
	// with a code. Those about a job end with the name of the caller's tenant, if the configuration
	// has tenants (see Principal.appendTo).

	kindHello     link.Kind = 100 + iota // (nothing) -> identity of the store
	kindAcceptJob                        // encoded job -> code
	// job ID, index of the first result, ms to wait -> code, total, count, (item ID, abandoned, text)
	kindReadResults
	kindReadItemBody // job ID, item ID -> code, body
	kindEndJob       // job ID -> code

	// Between a worker, which runs items at a proxy, and a store.

	kindAttachWorker // worker: name, zone, the maximum number of items that this store may have assigned to it
	// worker: partition, epoch, count, (job ID, item index): its items of the partition, for a new
	// primary
	kindReportRunning
	// store: partition, epoch of the report (0: any): the report is recorded, and ends of jobs
	// since then have been sent
	kindRunningNoted
	// store: partition: it may have been replaced as the primary, so no item of the partition may
	// be started
	kindPauseStarts
	kindAssignItem   // store: assignMessage
	kindItemResult   // worker: partition, job ID, item index, abandoned, text
	kindResultStored // store: partition, job ID, item index: the result is stored, or no longer needed
	kindCancelJob    // store: partition, job ID: the job has ended
	kindJobCancelled // worker: partition, job ID: none of its items will be started
	kindReturnItem   // worker: partition, job ID, item index: it will not be run by this worker

	// Between the primary of a partition and its replicas. All begin with partition and term.

	kindPrepare      // session: promise to reject older terms, and report your state
	kindPromise      // session, logPosition, count, (job ID, digest)
	kindFetchJob     // job ID: send the job with its results
	kindJobContents  // job ID, found, job with results (see core.encodeJobWithResults)
	kindInstallJob   // session, job with results: replace your state of the job
	kindJobInstalled // session
	kindStartTerm    // session, sequence number: your state now includes all operations up to that one
	kindOperation    // session, sequence number (0: sent before kindStartTerm), operation
	kindOperationAck // sequence number, log full: durable up to that operation; whether there is no space for more jobs
	kindStaleTerm    // (no more fields): the term is a newer one that is known here; the receiver has been replaced
	kindConfirm      // stamp: has this term been replaced?
	kindConfirmed    // stamp, log full: no newer term is known here; whether there is no space for more jobs

	// Between the primary of a partition and the owner of a quota, which is the primary of the
	// partition that the account hashes to. All begin with account (see accountKey), partition, and
	// the primary's incarnation.

	kindReserveTokens    // number, tokens, maximum tokens of items without a result
	kindReservationReply // number, code, the owner's incarnation
	kindUsageReport      // epoch, version, tokens, the number up to which all reservations are resolved
	kindUsageRequest     // (the incarnation is the owner's): report your usage

	// Between the primary of a partition and its replicas again. All begin with partition and term.

	// session, process, ms since the last confirmation of an earlier lead, the newest term of those, whether there is a
	// state, the newest state of a lead (see leadState): what is known of earlier leads; the promise follows
	kindLeadReport
	kindLeadState     // session, state of the lead: hold it
	kindLeadStateHeld // session, sequence number: that state or a newer one is held

	// Jobs in parts, between the primary of a partition and its replicas. All begin with partition
	// and term. A replica that sends no kindAcceptsParts gets and sends whole jobs only.

	kindAcceptsParts   // session: this replica knows the kinds below; the lead report and the promise follow
	kindFetchJobPart   // job ID, started, number of results: send the part of the job that begins there (see partPosition)
	kindJobPart        // job part (see jobPart)
	kindInstallJobPart // session, job part: replace your state of the job once it is complete
)

// Handles reports whether a message kind belongs to batch jobs.
func Handles(k link.Kind) bool { return k >= kindHello && k <= kindInstallJobPart }

// Reply codes. They are on the wire.
const (
	codeOK          uint8 = 1 + iota
	codeNotFound          // there is no such job or item; confirmed by the replicas
	codeQuotaFull         // not done: the token quota is exhausted
	codeUnavailable       // not done, and will not be done
	codeUnknown           // it may have been done
	codeLogFull           // not done, and retrying soon is no use: the log of this store or of a replica is full
	codeOtherTenant       // not done, and will not be done: the job belongs to another tenant
)

// encodeReadResults encodes kindReadResults.
func encodeReadResults(jobID string, startAfter int, waitMs int64, by Principal) []byte {
	w := link.Writer{Buf: make([]byte, 0, 4+len(jobID)+16+4+len(by.Tenant))}
	w.String(jobID)
	w.Int(startAfter)
	w.Int(int(waitMs))
	by.appendTo(&w)
	return w.Buf
}

// encodeReadItemBody encodes kindReadItemBody.
func encodeReadItemBody(jobID, itemID string, by Principal) []byte {
	w := link.Writer{Buf: make([]byte, 0, 8+len(jobID)+len(itemID)+4+len(by.Tenant))}
	w.String(jobID)
	w.String(itemID)
	by.appendTo(&w)
	return w.Buf
}

// encodeEndJob encodes kindEndJob.
func encodeEndJob(jobID string, by Principal) []byte {
	var w link.Writer
	w.String(jobID)
	by.appendTo(&w)
	return w.Buf
}

// encodeAttachWorker encodes kindAttachWorker.
func encodeAttachWorker(name, zone string, limit int) []byte {
	w := link.Writer{Buf: make([]byte, 0, 16+len(name)+len(zone))}
	w.String(name)
	w.String(zone)
	w.Int(limit)
	return w.Buf
}

// encodeReportRunning encodes kindReportRunning. The keys are those of items of the partition.
func encodeReportRunning(partition int, epoch uint64, keys []itemKey) []byte {
	w := encodeTermMessage(4, partition, epoch)
	w.U32(uint32(len(keys)))
	for _, key := range keys {
		w.String(key.jobID)
		w.U32(uint32(key.index))
	}
	return w.Buf
}

// encodeItemResult encodes kindItemResult.
func encodeItemResult(key itemKey, abandoned bool, text []byte) []byte {
	w := link.Writer{Buf: make([]byte, 0, 17+len(key.jobID)+len(text))}
	w.U32(uint32(key.partition))
	w.String(key.jobID)
	w.U32(uint32(key.index))
	w.Bool(abandoned)
	w.Bytes(text)
	return w.Buf
}

// encodeTermMessage begins a message between a primary and its replicas with a partition, a term
// and further numbers. It reserves capacity for extraBytes more bytes.
func encodeTermMessage(extraBytes, partition int, numbers ...uint64) link.Writer {
	w := link.Writer{Buf: make([]byte, 0, 4+8*len(numbers)+extraBytes)}
	w.U32(uint32(partition))
	for _, n := range numbers {
		w.U64(n)
	}
	return w
}

// encodeJobRef encodes kindCancelJob, which identifies a job.
func encodeJobRef(partition int, jobID string) []byte {
	w := link.Writer{Buf: make([]byte, 0, 8+len(jobID))}
	w.U32(uint32(partition))
	w.String(jobID)
	return w.Buf
}

// encodeItemRef encodes kindResultStored and kindReturnItem, which identify an item.
func encodeItemRef(key itemKey) []byte {
	w := link.Writer{Buf: make([]byte, 0, 12+len(key.jobID))}
	w.U32(uint32(key.partition))
	w.String(key.jobID)
	w.U32(uint32(key.index))
	return w.Buf
}

// encodeRunningNoted encodes kindRunningNoted. Epoch 0 answers reports under any epoch.
func encodeRunningNoted(partition int, epoch uint64) []byte {
	return encodeTermMessage(0, partition, epoch).Buf
}

// encodeStartsPaused encodes kindPauseStarts.
func encodeStartsPaused(partition int) []byte { return encodeTermMessage(0, partition).Buf }
