package lease

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"dunetide/internal/lab/golden"
	"dunetide/internal/platform/vfs"
)

// Every message, record and snapshot has the same encoding as in an earlier version.
func TestGoldenMessagesAndSnapshots(t *testing.T) {
	golden.Encoding[request](t, "ask.cbor", encoding, decoding)
	golden.Encoding[answer](t, "answer.cbor", encoding, decoding)
	golden.Encoding[message](t, "message.cbor", encoding, decoding)
	golden.Encoding[command](t, "command.cbor", encoding, decoding)
	golden.Encoding[record](t, "record.cbor", encoding, decoding)
	golden.Encoding[machineState](t, "snapshot.cbor", encoding, decoding)
	golden.JSON[Status](t, "status.json")
}

// goldenRecords are the records of the voter's file in testdata/golden.
func goldenRecords() []record {
	first := golden.Filled[record]()
	first.Place = 1
	return []record{first, {Place: 2, Hard: []byte{8, 3}, Entries: [][]byte{{1, 2}, {3}}}, {Place: 3, Seen: map[uint64]incarnation{7: {8, 9}}}}
}

func TestGoldenVoterLog(t *testing.T) {
	const name = "lease-log"
	var text []byte
	for _, rec := range goldenRecords() {
		payload, err := encoding.Marshal(rec)
		if err != nil {
			t.Fatal(err)
		}
		text = append(text, frame(payload)...)
	}
	golden.Compare(t, name, text)
	d := disk{folder: vfs.Dir(golden.Dir)}
	all, err := d.load()
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenRecords(); !reflect.DeepEqual(all, want) {
		t.Errorf("read %+v, want %+v", all, want)
	}
	// A file written by disk has the same bytes.
	folder := t.TempDir()
	w := disk{folder: vfs.Dir(folder)}
	if err := w.renew(all[0]); err != nil {
		t.Fatal(err)
	}
	for _, rec := range all[1:] {
		if err := w.append(rec); err != nil {
			t.Fatal(err)
		}
	}
	w.close()
	written, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, name, written)
}

func TestGoldenFence(t *testing.T) {
	const name = "fence"
	dir := t.TempDir()
	f, err := OpenFence(vfs.Dir(dir), name)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]uint64{"renewals": 17, "reports": 1 << 31}
	for _, lease := range []string{"renewals", "reports"} {
		if err := f.Pass(lease, want[lease]); err != nil {
			t.Fatal(err)
		}
	}
	written, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, name, written)
	read, err := OpenFence(vfs.Dir(golden.Dir), name)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read.seen, want) {
		t.Errorf("read %v, want %v", read.seen, want)
	}
}
