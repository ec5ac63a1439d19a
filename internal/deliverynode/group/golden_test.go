package group

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"dunetide/internal/lab/golden"
)

// goldenFrame tests the encoding of a message between the processes of a group.
func goldenFrame[T any](t *testing.T, name string) {
	t.Helper()
	golden.Codec(t, name, func(v T) ([]byte, error) {
		var b bytes.Buffer
		err := writeFrame(&b, v, maxMessage)
		return b.Bytes(), err
	}, func(text []byte, v *T) error { return readFrame(bytes.NewReader(text), v, maxMessage) })
}

// Every message between processes that an earlier version has encoded is decoded to the same value and encoded to the same bytes.
func TestGoldenMessages(t *testing.T) {
	goldenFrame[request](t, "request")
	goldenFrame[Hello](t, "hello")
	golden.JSON[Status](t, "status.json")
	golden.JSON[View](t, "view.json")
}

// The reply is tested separately: its golden file without a body has the current version, not version zero.
func TestGoldenReply(t *testing.T) {
	var b bytes.Buffer
	want := golden.Filled[reply]()
	if err := writeFrame(&b, want, maxMessage); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "reply", b.Bytes())
	var read reply
	if err := readFrame(bytes.NewReader(golden.Read(t, "reply")), &read, maxMessage); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, want) {
		t.Errorf("read %+v, want %+v", read, want)
	}
	b.Reset()
	if err := writeFrame(&b, reply{Version: Version}, maxMessage); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "reply.empty", b.Bytes())
}

// goldenView is the view in the file of testdata/golden.
func goldenView() View {
	return View{Version: Version, Epoch: 0x1234, Shares: []Share{{Member: "aa", Parts: 420, Retained: 105}, {Member: "bb", Parts: 419}}}
}

func TestGoldenViewFile(t *testing.T) {
	const name = "view-0000000000001234"
	dir := folder(t.TempDir())
	if err := dir.writeView(goldenView()); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(string(dir), name))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, name, written)
	views, epoch, torn, err := folder(golden.Dir).views()
	if err != nil || torn || epoch != 0x1234 || !reflect.DeepEqual(views, []View{goldenView()}) {
		t.Errorf("read %+v, epoch %x, torn %v, %v", views, epoch, torn, err)
	}
}
