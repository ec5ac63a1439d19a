package node

import (
	"fmt"
	"sync"
	"testing"

	"dunetide/internal/deliverynode/journal"
)

// The intake and the journal add to the same set of ended ids concurrently: messages of clients end while the rest of a log
// that was taken over is processed. No id may be lost.
func TestIntakeAndJournalShareEndedIDs(t *testing.T) {
	const each = 200
	j, _ := mustOpen(t, t.TempDir(), journal.MinDisk)
	in := &intake{held: map[string]bool{}, journal: j, endedIDs: j.EndedSet}
	var both sync.WaitGroup
	both.Go(func() {
		for i := range each {
			id := fmt.Sprint("own", i)
			in.accepted(id)
			in.ended(id)
		}
	})
	both.Go(func() {
		for i := range each {
			if err := j.AddEndedIDs([]string{fmt.Sprint("inherited", i)}); err != nil {
				t.Error(err)
			}
		}
	})
	both.Wait()
	for i := range each {
		for _, id := range []string{fmt.Sprint("own", i), fmt.Sprint("inherited", i)} {
			if !in.has(id) {
				t.Errorf("%s is not recorded as ended", id)
			}
		}
	}
}
