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

	"dunetide/internal/journal"
)

const maxFence = 2 << 20

// ErrFenced says that somebody has acted under a later token.
var ErrFenced = errors.New("a later token was seen")

// Fence refuses acts under lower tokens than it has seen, on behalf of whoever they are done to.
// With a folder that outlasts the process. It may be used by many at once.
type Fence struct {
	folder journal.Folder
	name   string

	mu   sync.Mutex
	seen map[string]uint64
}

// OpenFence reads what an earlier life has seen. Folder nil: nothing is kept. What can't be read is
// an error: without it a lower token could pass.
func OpenFence(folder journal.Folder, name string) (*Fence, error) {
	f := &Fence{folder: folder, name: name, seen: map[string]uint64{}}
	if folder == nil {
		return f, nil
	}
	text, err := folder.Read(name, maxFence)
	if errors.Is(err, fs.ErrNotExist) {
		return f, nil
	}
	if err != nil {
		return nil, fmt.Errorf("the tokens seen: %w", err)
	}
	body, sum, _ := strings.Cut(string(text), "\n")
	if want, err := strconv.ParseUint(strings.TrimSpace(sum), 16, 64); err != nil || want != xxhash.Sum64String(body) {
		return nil, fmt.Errorf("the tokens seen: %s does not check", name)
	}
	bytes, err := hex.DecodeString(body)
	if err == nil {
		err = decoding.Unmarshal(bytes, &f.seen)
	}
	if err != nil {
		return nil, fmt.Errorf("the tokens seen: %w", err)
	}
	return f, nil
}

// Pass lets an act through, or refuses it with ErrFenced. A token that is later than all before is
// on disk before the act may begin; another error says that it is not, and then it may not.
func (f *Fence) Pass(lease string, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, known := f.seen[lease]
	switch {
	case token < last:
		return fmt.Errorf("%w: %q under %d, after %d", ErrFenced, lease, token, last)
	case token == last:
		return nil
	case !known && len(f.seen) >= MaxLeases:
		return fmt.Errorf("tokens of %d leases are kept already", MaxLeases)
	}
	next := maps.Clone(f.seen)
	next[lease] = token
	if f.folder != nil {
		if err := f.save(next); err != nil {
			return fmt.Errorf("keeping a token: %w", err)
		}
	}
	f.seen = next
	return nil
}

func (f *Fence) save(seen map[string]uint64) error {
	body, err := encoding.Marshal(seen)
	if err != nil {
		return err
	}
	// A line of its own for the checksum, so the body goes as digits.
	text := fmt.Sprintf("%x", body)
	return journal.Replace(f.folder, f.name, fmt.Appendf(nil, "%s\n%016x\n", text, xxhash.Sum64String(text)))
}
