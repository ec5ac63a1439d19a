package replica

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/lab/golden"
	"dunetide/internal/platform/vfs"
)

// Every message between nodes has the same encoding as in an earlier version.
func TestGoldenMessages(t *testing.T) {
	golden.Encoding[Entry](t, "entry.cbor", encoding, decoding)
	golden.Encoding[Batch](t, "batch.cbor", encoding, decoding)
	golden.Encoding[Ack](t, "ack.cbor", encoding, decoding)
	golden.Encoding[note](t, "note.cbor", encoding, decoding)
	golden.Encoding[fetch](t, "fetch.cbor", encoding, decoding)
	golden.Encoding[fetched](t, "fetched.cbor", encoding, decoding)
	golden.Encoding[have](t, "have.cbor", encoding, decoding)
	golden.Encoding[who](t, "who.cbor", encoding, decoding)
	golden.JSON[Status](t, "status.json")
}

// The metadata files beside the journals have the same format as in an earlier version.
func TestGoldenMetaFiles(t *testing.T) {
	goldenMeta[meta](t, "copy")
	goldenMeta[ownMeta](t, "own")
	goldenMeta[workMeta](t, "work")
}

func goldenMeta[T any](t *testing.T, name string) {
	t.Helper()
	dir, want := t.TempDir(), golden.Filled[T]()
	if err := saveMeta(vfs.Dir(dir), name, want); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, name, written)
	var read T
	if err := loadMeta(vfs.Dir(golden.Dir), name, &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, want) {
		t.Errorf("%s: read %+v, want %+v", name, read, want)
	}
}

// goldenCopy returns the entries of the copy in testdata/golden/stored.
func goldenCopy() []Entry {
	one, two := golden.Filled[Entry](), golden.Filled[Entry]()
	one.Seq, one.Bare, one.Tenures = 3, false, one.Tenures[:1]
	two.Seq, two.ID, two.Bare, two.Tenures = 4, "another", false, two.Tenures[:1]
	one.Tenures[0].Token, one.Tenures[0].Version = 9, 1
	two.Tenures[0].Token, two.Tenures[0].Version = 9, 2
	return []Entry{one, two}
}

// The folder of a copy that an earlier version has stored can be read, and writing its content gives the same files.
func TestGoldenStoredCopy(t *testing.T) {
	write := func() map[string][]byte {
		dir := t.TempDir()
		c, err := NewCopy(copyOptions(dir), "n1", 5, 0)
		if err != nil {
			t.Fatal(err)
		}
		ack, err := c.Apply(Batch{Owner: "n1", Log: 5, Token: 9, From: 0, To: 2, Items: goldenCopy(),
			Over: []Over{{Seq: 1, ID: "ended"}}, Orders: &Orders{Version: 6, Out: []string{"s1"}}}, time.Second)
		if err != nil || ack.At != 2 {
			t.Fatalf("%+v, %v", ack, err)
		}
		if err := c.journal.Close(); err != nil {
			t.Fatal(err)
		}
		return folderOf(t, dir)
	}
	for name, text := range write() {
		golden.Compare(t, filepath.Join("stored", name), text)
	}
	dir := t.TempDir()
	for name, text := range folderOf(t, filepath.Join(golden.Dir, "stored")) {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	c, err := OpenCopy(copyOptions(dir), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range goldenCopy() {
		if got := c.entries[want.Seq]; !reflect.DeepEqual(got, want) {
			t.Errorf("read %+v, want %+v", got, want)
		}
	}
	if len(c.entries) != 2 || c.at != 2 || !c.over.Has("ended") || c.meta.Token != 9 || c.meta.Orders.Version != 6 {
		t.Errorf("read %d entries up to %d, %+v", len(c.entries), c.at, c.meta)
	}
	if err := c.journal.Close(); err != nil {
		t.Fatal(err)
	}
}

func copyOptions(dir string) CopyOptions {
	return CopyOptions{Folder: vfs.Dir(dir), Place: "place", Limit: journal.MinDisk,
		Now: func() time.Time { return time.UnixMicro(1764600000123456) }}
}

func folderOf(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string][]byte{}
	for _, f := range files {
		if all[f.Name()], err = os.ReadFile(filepath.Join(dir, f.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return all
}
