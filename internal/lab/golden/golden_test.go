package golden

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"
)

type inner struct {
	A int `json:"a"`
}

type sample struct {
	inner
	Name  string            `json:"name"`
	Other string            `json:"other"`
	Small uint8             `cbor:"1,keyasint"`
	At    time.Time         `json:"at"`
	Raw   json.RawMessage   `json:"raw"`
	List  []inner           `json:"list"`
	Map   map[string]uint64 `json:"map"`
	Next  *inner            `json:"next"`
	On    bool
}

// renamed has some wire names of sample, in another order and under other field names.
type renamed struct {
	Second string `json:"other"`
	First  string `json:"name"`
}

func TestFilledValuesDifferFromZeroAndFollowTheNamesOnTheWire(t *testing.T) {
	v := Filled[sample]()
	for i := range reflect.TypeOf(v).NumField() {
		if reflect.ValueOf(v).Field(i).IsZero() {
			t.Errorf("%s was left zero", reflect.TypeOf(v).Field(i).Name)
		}
	}
	if v.Name == v.Other {
		t.Errorf("two fields have the value %q", v.Name)
	}
	if r := Filled[renamed](); r.First != v.Name || r.Second != v.Other {
		t.Errorf("values changed with the names of the fields: %+v, %+v", r, v)
	}
	if len(v.List) != 2 || v.List[0] == v.List[1] || v.Next == nil || v.Next.A == 0 || len(v.Map) != 1 {
		t.Errorf("got %+v", v)
	}
	if !reflect.DeepEqual(v, Filled[sample]()) {
		t.Error("two calls return different values")
	}
}

func TestCompareNamesTheFileThatDiffers(t *testing.T) {
	t.Chdir(t.TempDir())
	*write = true
	Compare(t, "one", []byte("1"))
	*write = false
	Compare(t, "one", []byte("1"))
	other := &failures{TB: t}
	Compare(other, "one", []byte("2"))
	*write = true // an existing file stays
	Compare(other, "one", []byte("2"))
	*write = false
	if other.count != 2 {
		t.Errorf("%d failures for two differences", other.count)
	}
	if got := string(Read(t, "one")); got != "1" {
		t.Errorf("the file was overwritten with %q", got)
	}
}

func TestCodecAcceptsAnEncodingThatRoundTrips(t *testing.T) {
	t.Chdir(t.TempDir())
	*write = true
	defer func() { *write = false }()
	JSON[inner](t, "inner.json")
	if got, want := string(Read(t, "inner.json.zero")), "{\n  \"a\": 0\n}"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// failures counts the errors that a helper reports.
type failures struct {
	testing.TB
	count int
}

func (f *failures) Errorf(string, ...any) { f.count++ }
