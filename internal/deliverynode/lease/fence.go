package lease

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"dunetide/internal/platform/vfs"
)

// maxFence is the most bytes of a file of tokens.
const maxFence = 2 << 20

// ErrFenced is returned for an operation under a token that is lower than one that was seen.
var ErrFenced = errors.New("a later token was seen")

// Fence refuses operations under fencing tokens that are lower than the highest one seen. With a folder, the tokens persist
// across restarts. It is safe for concurrent use.
type Fence struct {
	folder vfs.Folder
	name   string

	mu   sync.Mutex
	seen map[string]uint64
}

// OpenFence reads the tokens that an earlier process has stored. If folder is nil, none are stored. It fails if the file is
// damaged, because without it a lower token could pass.
func OpenFence(folder vfs.Folder, name string) (*Fence, error) {
	f := &Fence{folder: folder, name: name, seen: map[string]uint64{}}
	if folder == nil {
		return f, nil
	}
	text, err := folder.Read(name, maxFence)
	if errors.Is(err, fs.ErrNotExist) {
		return f, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading fencing tokens: %w", err)
	}
	body, sum, _ := strings.Cut(string(text), "\n")
	if want, err := strconv.ParseUint(strings.TrimSpace(sum), 16, 64); err != nil || want != xxhash.Sum64String(body) {
		return nil, fmt.Errorf("reading fencing tokens: %s has a wrong checksum", name)
	}
	bytes, err := hex.DecodeString(body)
	if err == nil {
		err = decoding.Unmarshal(bytes, &f.seen)
	}
	if err != nil {
		return nil, fmt.Errorf("decoding fencing tokens: %w", err)
	}
	return f, nil
}

// Pass returns nil if an operation under a token may begin, and ErrFenced if a later token was seen. A token that is higher
// than all before is on disk when Pass returns nil; if it cannot be stored, Pass returns another error.
func (f *Fence) Pass(lease string, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, known := f.seen[lease]
	switch {
	case token < last:
		return fmt.Errorf("%w: %q has token %d, after %d", ErrFenced, lease, token, last)
	case token == last:
		return nil
	case !known && len(f.seen) >= MaxLeases:
		return fmt.Errorf("tokens of %d leases are stored already", MaxLeases)
	}
	next := maps.Clone(f.seen)
	next[lease] = token
	if f.folder != nil {
		if err := f.save(next); err != nil {
			return fmt.Errorf("storing a fencing token: %w", err)
		}
	}
	f.seen = next
	return nil
}

// save stores the tokens.
func (f *Fence) save(seen map[string]uint64) error {
	body, err := encoding.Marshal(seen)
	if err != nil {
		return err
	}
	// The body is written in hexadecimal, so that the checksum can be on a line of its own.
	text := fmt.Sprintf("%x", body)
	return vfs.Replace(f.folder, f.name, fmt.Appendf(nil, "%s\n%016x\n", text, xxhash.Sum64String(text)))
}
