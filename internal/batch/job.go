package batch

import (
	"hash/crc32"

	"dunetide/internal/platform/link"
)

// Job is a batch job as it is handed in.
type Job struct {
	ID        string
	Route     string
	Host      string
	PathStart string
	SentMs    int64 // time of day at which an edge took it first; it only orders jobs, as clocks may be stepped
	DueMs     int64
	Tries     int
	MaxWaitMs int64  // 0: never given up for its age
	MaxQueued int64  // of the route; 0: no limit
	Version   uint64 // of the configuration that it was taken by
	Items     []JobItem
}

// JobItem is one request of a batch job.
type JobItem struct {
	ID      string
	Path    string
	Headers [][2]string
	Body    []byte
	Tokens  int64
}

func (j *Job) encode() []byte {
	n := 200
	for i := range j.Items {
		n += 200 + len(j.Items[i].Body)
	}
	w := &link.Writer{B: make([]byte, 0, n)}
	w.String(j.ID)
	w.String(j.Route)
	w.String(j.Host)
	w.String(j.PathStart)
	w.Int(int(j.SentMs))
	w.Int(int(j.DueMs))
	w.Int(j.Tries)
	w.Int(int(j.MaxWaitMs))
	w.Int(int(j.MaxQueued))
	w.U64(j.Version)
	w.U32(uint32(len(j.Items)))
	for i := range j.Items {
		it := &j.Items[i]
		w.String(it.ID)
		w.Int(int(it.Tokens))
		w.Bytes(encodeSegment(it.Path, it.Headers, it.Body))
	}
	return w.B
}

func encodeSegment(path string, headers [][2]string, body []byte) []byte {
	var w link.Writer
	w.String(path)
	w.U32(uint32(len(headers)))
	for _, h := range headers {
		w.String(h[0])
		w.String(h[1])
	}
	w.Bytes(body)
	return w.B
}

func decodeSegment(b []byte) (path string, headers [][2]string, body []byte, err error) {
	r := link.Reader{B: b}
	path = r.String()
	for n := r.Count(8); n > 0; n-- {
		headers = append(headers, [2]string{r.String(), r.String()})
	}
	body = r.Bytes()
	return path, headers, body, r.Err
}

// job is what a store has of one in memory; texts and bodies stay on disk.
type job struct {
	id, route, host, pathStart string
	sentMs, dueMs, maxWaitMs   int64
	knownSince                 int64 // steady clock of this life when the job was first known here; its age is not less than since then
	maxQueued                  int64
	version                    uint64
	tries                      int
	at                         int64 // of the encoded job in the log
	n                          int
	sum                        uint64 // over all that happened to it, the end apart
	bytes                      int64  // on disk
	items                      []item
	results                    []result
	ended                      bool

	// Of the primary: what is committed, and who waits.
	committed bool
	visible   int  // results that may be read
	endSeen   bool // the end is committed
	dropping  bool
	waiting   int // items to hand out
	next      int // no item before this one waits
	queued    bool
	readers   []reader
}

type item struct {
	id     string
	off, n uint32 // of its segment in the encoded job
	sum    uint32 // of the segment
	tokens int64
	state  uint8
	by     *worker
}

const (
	itemWaiting uint8 = iota
	itemHanded
	itemListed
)

type result struct {
	item    int32
	givenUp bool
	at      int64
	n       int
	sum     uint32
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func mix(sum, v uint64) uint64 {
	sum ^= v + 0x9e3779b97f4a7c15 + sum<<6 + sum>>2
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>32
}

func (j *job) digest() uint64 {
	if j.ended {
		return mix(j.sum, 1)
	}
	return j.sum
}

// open tells whether anything of it may still be listed.
func (j *job) open() bool { return !j.ended && len(j.results) < len(j.items) }

func (j *job) tokens() (n int64) {
	for i := range j.items {
		if j.items[i].state != itemListed {
			n += j.items[i].tokens
		}
	}
	return n
}

// decodeJob reads an encoded job that lies at a place in the log.
func decodeJob(b []byte, at int64) (*job, error) {
	r := link.Reader{B: b}
	j := &job{at: at, n: len(b), bytes: int64(len(b)), sum: mix(uint64(len(b)), uint64(crc32.Checksum(b, castagnoli)))}
	j.id, j.route, j.host, j.pathStart = r.String(), r.String(), r.String(), r.String()
	j.sentMs, j.dueMs, j.tries, j.maxWaitMs, j.maxQueued = int64(r.Int()), int64(r.Int()), r.Int(), int64(r.Int()), int64(r.Int())
	j.version = r.U64()
	n := r.Count(16)
	j.items = make([]item, n)
	for i := range j.items {
		it := &j.items[i]
		it.id, it.tokens = r.String(), int64(r.Int())
		seg := r.Bytes()
		it.n = uint32(len(seg))
		it.off = uint32(len(b) - len(r.B) - len(seg))
		it.sum = crc32.Checksum(seg, castagnoli)
	}
	return j, r.Err
}

func (j *job) list(itemNo int, givenUp bool, text []byte, at int64) {
	if itemNo < 0 || itemNo >= len(j.items) || j.items[itemNo].state == itemListed {
		return
	}
	if j.items[itemNo].state == itemWaiting && j.queued {
		j.waiting--
	}
	j.items[itemNo].state = itemListed
	sum := crc32.Checksum(text, castagnoli)
	j.results = append(j.results, result{int32(itemNo), givenUp, at, len(text), sum})
	j.bytes += int64(len(text))
	g := uint64(0)
	if givenUp {
		g = 1
	}
	j.sum = mix(j.sum, uint64(itemNo)<<33|g<<32|uint64(sum))
}

// Operations, ordered by the primary of a part.
const (
	opAccept uint8 = 1 + iota // encoded job
	opList                    // job, item number, given up, text
	opEnd                     // job
	opDrop                    // job
)

func encodeList(id string, itemNo int, givenUp bool, text []byte) []byte {
	w := link.Writer{B: make([]byte, 0, len(id)+len(text)+16)}
	w.U8(opList)
	w.String(id)
	w.U32(uint32(itemNo))
	w.Bool(givenUp)
	w.B = append(w.B, text...)
	return w.B
}

func encodeNamed(op uint8, id string) []byte {
	var w link.Writer
	w.U8(op)
	w.String(id)
	return w.B
}

// jobOf is the job that an operation is about.
func jobOf(op []byte) string {
	r := link.Reader{B: op}
	r.U8()
	return r.String()
}

// Records of the log.
const (
	recID      uint8 = 1 + iota // identity
	recPromise                  // part, ballot
	recMark                     // part, ballot, seq
	recOp                       // part, ballot, seq (0: without a claim), operation
	recPut                      // part, whole job
)

func encodeRec(kind uint8, part int, nums ...uint64) []byte {
	var w link.Writer
	w.U8(kind)
	w.U32(uint32(part))
	for _, n := range nums {
		w.U64(n)
	}
	return w.B
}
