package node

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/vfs"
)

// groupStatus is the response to /ops/group.
type groupStatus struct {
	group.Status
	Share     float64        `json:"share_in_use"`
	Serves    bool           `json:"takes_clients"`
	Journal   string         `json:"journal"`
	Adopted   []adoptedState `json:"adopted"`
	Adoptions int            `json:"adoptions"`
	Staleness map[string]age `json:"staleness"`
}

type adoptedState struct {
	Journal string `json:"journal"`
	Owed    int    `json:"owed"`
}

func (pg *processGroup) status() groupStatus {
	s := groupStatus{Status: pg.group.Status(), Share: pg.loop.share(), Serves: pg.servesClients(), Journal: filepath.Base(pg.own.path),
		Adopted: []adoptedState{}, Staleness: pg.stale.show()}
	pg.mu.Lock()
	defer pg.mu.Unlock()
	s.Adoptions = pg.adoptions
	for _, a := range pg.adopted {
		s.Adopted = append(s.Adopted, adoptedState{filepath.Base(a.path), a.journal.Status().Live})
	}
	return s
}

// MemberFolders returns the paths of the journals of a group's members in a state folder.
func MemberFolders(dir string) (all []string) {
	for n := range 2 * group.MaxMembers {
		if path := filepath.Join(dir, fmt.Sprintf(slotFormat, n)); fingerprint(path) != "" {
			all = append(all, path)
		}
	}
	return all
}

// pendingInGroup returns how many pending messages the journals of a group in a state folder have, for a process without a
// group.
func pendingInGroup(dir string, limit int64) (pending int, err error) {
	if _, err := os.Stat(filepath.Join(dir, groupFolder)); errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	for _, path := range MemberFolders(dir) {
		report, err := journal.Check(vfs.Dir(path), max(limit, 64<<20))
		if err != nil {
			return 0, err
		}
		pending += report.Owed
	}
	return pending, nil
}
