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
	maxIdentity  = 512 // a block on disk
	// DiskSpace is what the file takes in the folder, with the one that replaces it.
	DiskSpace = 2 * 512
)

// ErrOtherNode refuses a folder that belongs to another node or fleet.
var ErrOtherNode = errors.New("the folder belongs to another node")

// identity is what a node keeps of itself in its folder.
type identity struct {
	Fleet       string `json:"fleet"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// loadIdentity reads what an earlier start kept; a zero incarnation where there is nothing.
// What can't be read is as good as nothing, and is told: others know the incarnation.
func loadIdentity(folder vfs.Folder, fleet, name string) (id identity, spoilt error, err error) {
	fresh := identity{Fleet: fleet, Name: name}
	text, err := folder.Read(identityName, maxIdentity)
	if errors.Is(err, fs.ErrNotExist) {
		return fresh, nil, nil
	}
	if err != nil {
		return fresh, fmt.Errorf("%s can't be read: %w", identityName, err), nil
	}
	body, sum, _ := strings.Cut(string(text), "\n")
	if want, err := strconv.ParseUint(strings.TrimSpace(sum), 16, 64); err != nil || want != xxhash.Sum64String(body) {
		return fresh, fmt.Errorf("%s does not check", identityName), nil
	}
	if err := json.Unmarshal([]byte(body), &id); err != nil {
		return fresh, fmt.Errorf("%s: %w", identityName, err), nil
	}
	if id.Fleet != fleet || id.Name != name {
		return fresh, nil, fmt.Errorf("%w: %s of fleet %s, and this is %s of %s", ErrOtherNode, id.Name, id.Fleet, name, fleet)
	}
	return id, nil, nil
}

// save puts an identity on disk, whole or not at all, synced: an incarnation that somebody
// has heard must never be used again.
func (id identity) save(folder vfs.Folder) error {
	body, err := json.Marshal(id)
	if err != nil {
		return fmt.Errorf("keeping the incarnation: %w", err)
	}
	err = vfs.Replace(folder, identityName, fmt.Appendf(nil, "%s\n%016x\n", body, xxhash.Sum64(body)))
	if err != nil {
		return fmt.Errorf("keeping the incarnation: %w", err)
	}
	return nil
}
