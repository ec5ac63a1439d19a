package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dunetide/internal/platform/vfs"
)

const (
	identityName = "fleet-node"
	maxIdentity  = 512 // one disk block
	// DiskSpace is the disk space of the file and of the temporary file that replaces it.
	DiskSpace = 2 * 512
)

// ErrOtherNode rejects a state directory that belongs to another node or fleet.
var ErrOtherNode = errors.New("the folder belongs to another node")

// identity is the node's persistent state in its state directory.
type identity struct {
	Fleet       string `json:"fleet"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// loadIdentity reads the identity that an earlier start saved; its incarnation is zero if there is none.
// An unreadable file counts as missing and is reported as unreadable: other nodes know the incarnation.
func loadIdentity(folder vfs.Folder, fleet, name string) (id identity, unreadable error, err error) {
	fresh := identity{Fleet: fleet, Name: name}
	text, err := folder.Read(identityName, maxIdentity)
	if errors.Is(err, fs.ErrNotExist) {
		return fresh, nil, nil
	}
	if err != nil {
		return fresh, fmt.Errorf("reading %s: %w", identityName, err), nil
	}
	body, sum, _ := strings.Cut(string(text), "\n")
	if want, err := strconv.ParseUint(strings.TrimSpace(sum), 16, 64); err != nil || want != xxhash.Sum64String(body) {
		return fresh, fmt.Errorf("%s: checksum mismatch", identityName), nil
	}
	if err := json.Unmarshal([]byte(body), &id); err != nil {
		return fresh, fmt.Errorf("%s: %w", identityName, err), nil
	}
	if id.Fleet != fleet || id.Name != name {
		return fresh, nil, fmt.Errorf("%w: %s of fleet %s, and this is %s of %s", ErrOtherNode, id.Name, id.Fleet, name, fleet)
	}
	return id, nil, nil
}

// save writes the identity to disk atomically and synced: an incarnation that another node has seen
// must never be used again.
func (id identity) save(folder vfs.Folder) error {
	body, err := json.Marshal(id)
	if err != nil {
		return fmt.Errorf("keeping the incarnation: %w", err)
	}
	err = vfs.Replace(folder, identityName, fmt.Appendf(nil, "%s\n%016x\n", body, xxhash.Sum64(body)))
	if err != nil {
		return fmt.Errorf("saving the incarnation: %w", err)
	}
	return nil
}
