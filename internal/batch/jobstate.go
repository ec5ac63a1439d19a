package batch

import (
	"hash/crc32"

	"dunetide/internal/platform/link"
)

// job is a store's in-memory state of a job. The requests of its items and the texts of its results
// stay on disk.
type job struct {
	id         string
	route      string
	submitter  Principal // the job belongs to its tenant
	account    string    // on which its tokens count (see accountKey)
	host       string
	pathPrefix string

	sentMs          int64
	dueMs           int64
	maxWaitMs       int64
	maxQueuedTokens int64
	configVersion   uint64
	maxAttempts     int

	// knownSinceMs is when this process learned about the job, on its monotonic clock. The job is
	// at least that old.
	knownSinceMs int64

	offset        int64  // of the encoded job in the log
	encodedLength int    // bytes
	logBytes      int64  // of the encoded job and the texts of its results
	contentDigest uint64 // of the encoded job and its results, in order
	items         []item
	results       []result // in the order in which clients read them
	ended         bool     // a client ended it
	dropped       bool     // it has been removed from the partition, or a drop is in progress

	// The following fields are used by the primary only.

	committed       bool // its acceptance is committed
	readableResults int  // number of results that are committed and so may be read
	endCommitted    bool
	queued          bool // it is in the dispatch queue
	waitingItems    int  // items that may be assigned to a worker
	firstWaiting    int  // no item before this one is waiting
	pendingReads    []pendingRead
}

// item is an item of a job.
type item struct {
	id       string
	offset   uint32 // of its request in the encoded job
	length   uint32 // of its request
	checksum uint32 // of its request
	tokens   int64
	state    itemState
	worker   *worker // to which it is assigned; nil: none
}

// itemState is the state of an item as a store knows it.
type itemState uint8

const (
	itemWaiting  itemState = iota // for a worker
	itemAssigned                  // to a worker
	itemDone                      // the item has a result
)

// result is the location of an item's result text in the log.
type result struct {
	itemIndex int32
	abandoned bool // the text is empty
	offset    int64
	length    int
	checksum  uint32
}

// castagnoli is the table for all checksums of this package.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// mixDigest folds a value into a digest. The result depends on the order of the values.
func mixDigest(digest, value uint64) uint64 {
	digest ^= value + 0x9e3779b97f4a7c15 + digest<<6 + digest>>2
	digest *= 0xff51afd7ed558ccd
	return digest ^ digest>>32
}

// digest returns a value that is equal at two replicas if they have the same state of the job.
func (j *job) digest() uint64 {
	if j.ended {
		return mixDigest(j.contentDigest, 1)
	}
	return j.contentDigest
}

// isOpen reports whether more results may be added.
func (j *job) isOpen() bool { return !j.ended && !j.isComplete() }

// isComplete reports whether each item has a result.
func (j *job) isComplete() bool { return len(j.results) == len(j.items) }

// openTokens returns the tokens of the items without a result.
func (j *job) openTokens() (tokens int64) {
	for i := range j.items {
		if j.items[i].state != itemDone {
			tokens += j.items[i].tokens
		}
	}
	return tokens
}

// hasItem reports whether the job has an item with the given index.
func (j *job) hasItem(index int) bool { return index >= 0 && index < len(j.items) }

// decodeJob decodes a job whose first byte is at an offset of the log.
func decodeJob(encoded []byte, offset int64) (*job, error) {
	r := link.Reader{Buf: encoded}
	j := &job{
		offset:        offset,
		encodedLength: len(encoded),
		logBytes:      int64(len(encoded)),
		contentDigest: mixDigest(uint64(len(encoded)), uint64(crc32.Checksum(encoded, castagnoli))),
	}
	j.id = r.String()
	j.route = r.String()
	j.host = r.String()
	j.pathPrefix = r.String()
	j.sentMs = int64(r.Int())
	j.dueMs = int64(r.Int())
	j.maxAttempts = r.Int()
	j.maxWaitMs = int64(r.Int())
	j.maxQueuedTokens = int64(r.Int())
	j.configVersion = r.U64()
	j.items = make([]item, r.Count(16))
	for i := range j.items {
		it := &j.items[i]
		it.id = r.String()
		it.tokens = int64(r.Int())
		request := r.Bytes()
		it.length = uint32(len(request))
		it.offset = uint32(len(encoded) - len(r.Buf) - len(request))
		it.checksum = crc32.Checksum(request, castagnoli)
	}
	j.submitter = readPrincipal(&r)
	j.account = accountKey(j.route, j.submitter.Tenant)
	return j, r.Err
}

// addResult adds the result of an item, whose text is at an offset of the log. Only the first
// result of an item counts.
func (j *job) addResult(index int, abandoned bool, text []byte, offset int64) {
	if !j.hasItem(index) || j.items[index].state == itemDone {
		return
	}
	if j.items[index].state == itemWaiting && j.queued {
		j.waitingItems--
	}
	j.items[index].state = itemDone
	checksum := crc32.Checksum(text, castagnoli)
	j.results = append(j.results, result{
		itemIndex: int32(index),
		abandoned: abandoned,
		offset:    offset,
		length:    len(text),
		checksum:  checksum,
	})
	j.logBytes += int64(len(text))
	abandonedBit := uint64(0)
	if abandoned {
		abandonedBit = 1
	}
	j.contentDigest = mixDigest(j.contentDigest, uint64(index)<<33|abandonedBit<<32|uint64(checksum))
}
