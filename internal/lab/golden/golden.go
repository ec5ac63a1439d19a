// Package golden compares the bytes that a program writes to the network or to disk with those that an earlier version wrote.
//
// It is for tests only. A golden file is in testdata/golden of the package under test and is never rewritten: it shows that a later
// version still reads what the earlier one wrote, and writes the same bytes. Tests of the packages that own the formats use it;
// docs/lab.md describes it.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// write creates missing golden files. Existing files are never written, so a format cannot be changed by mistake.
var write = flag.Bool("write-missing-golden", false, "write golden files that are missing; not for CI")

// Dir is the directory of a package's golden files.
const Dir = "testdata/golden"

// Read returns the content of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(Dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Missing reports whether a golden file or directory must be created now: it is missing, and the flag requests it.
func Missing(name string) bool {
	_, err := os.Stat(filepath.Join(Dir, name))
	return os.IsNotExist(err) && *write
}

// Compare fails the test if the bytes differ from those of a golden file.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	if path := filepath.Join(Dir, name); Missing(name) {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: wrote\n%q\nthe golden file has\n%q", name, got, want)
	}
}

// CompareLines fails the test if lines, sorted and deduplicated, differ from those of the golden files NAME.txt and NAME-*.txt in a
// directory together. Existing files do not change: lines that are added later get a new file.
func CompareLines(t testing.TB, folder, name string, lines []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, name+"-*.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, file := range append(files, filepath.Join(folder, name+".txt")) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		want = append(want, strings.Fields(string(text))...)
	}
	got := slices.Compact(slices.Sorted(slices.Values(lines)))
	if slices.Sort(want); !slices.Equal(got, want) {
		t.Errorf("%s: has\n%s\nthe golden files have\n%s", name, strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Codec tests the encoding of one type against two golden files: one of a value in which each field differs from zero and from the
// other fields (Filled), and one of the zero value, which shows what is omitted. The first must decode to that value, and both must
// encode to the same bytes again after decoding.
func Codec[T any](t *testing.T, name string, encode func(T) ([]byte, error), decode func([]byte, *T) error) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		filled := Filled[T]()
		var zero T
		for file, value := range map[string]T{name: filled, name + ".zero": zero} {
			text, err := encode(value)
			if err != nil {
				t.Fatal(err)
			}
			Compare(t, file, text)
			var read T
			if err := decode(Read(t, file), &read); err != nil {
				t.Fatalf("%s: %v", file, err)
			}
			if file == name && !reflect.DeepEqual(read, filled) {
				t.Errorf("%s: read\n%+v\nwant\n%+v", file, read, filled)
			}
			again, err := encode(read)
			if err != nil {
				t.Fatal(err)
			}
			Compare(t, file, again)
		}
	})
}

// Encoder encodes values by reflection; cbor.EncMode is one.
type Encoder interface {
	Marshal(v any) ([]byte, error)
}

// Decoder decodes values that an Encoder encoded; cbor.DecMode is one.
type Decoder interface {
	Unmarshal(text []byte, v any) error
}

// Encoding tests the encoding of a type by an Encoder and a Decoder, as Codec does.
func Encoding[T any](t *testing.T, name string, encoder Encoder, decoder Decoder) {
	t.Helper()
	Codec(t, name, func(v T) ([]byte, error) { return encoder.Marshal(v) },
		func(text []byte, v *T) error { return decoder.Unmarshal(text, v) })
}

// JSON tests the JSON encoding of a type with Codec, indented as the consoles show it.
func JSON[T any](t *testing.T, name string) {
	t.Helper()
	Codec(t, name, func(v T) ([]byte, error) { return json.MarshalIndent(v, "", "  ") },
		func(text []byte, v *T) error { return json.Unmarshal(text, v) })
}

// Filled returns a value in which each exported field is not zero and, as a rule, differs from all others. The values are derived
// from the names on the wire and not from the names or the order of the fields, so a field may be renamed or moved as long as its
// tag stays.
func Filled[T any]() T {
	var v T
	fill(reflect.ValueOf(&v).Elem(), "")
	return v
}

var (
	timeType = reflect.TypeFor[time.Time]()
	rawType  = reflect.TypeFor[json.RawMessage]()
	addrType = reflect.TypeFor[netip.AddrPort]()
)

// sum returns a hash of a path of names.
func sum(path string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(path)) // a hash never fails
	return h.Sum64()
}

// fill sets a value. path is the path of wire names from the outermost value.
func fill(v reflect.Value, path string) {
	n := sum(path)
	switch v.Type() {
	case timeType:
		v.Set(reflect.ValueOf(time.UnixMicro(1764600000000000 + int64(n%1000000007)).UTC()))
		return
	case rawType:
		v.Set(reflect.ValueOf(json.RawMessage(fmt.Sprintf("%d", n%1000000))))
		return
	case addrType:
		v.Set(reflect.ValueOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n), byte(n >> 8), 7}), uint16(1+n%60000))))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int8, reflect.Uint8:
		setInt(v, 1+n%100)
	case reflect.Int16, reflect.Uint16:
		setInt(v, 1+n%30000)
	case reflect.Int, reflect.Int32, reflect.Uint32, reflect.Uint:
		setInt(v, 1+n%1000000007)
	case reflect.Int64, reflect.Uint64:
		setInt(v, 1+n%1000000000039)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n%4096) + 0.25)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%04x", n%65536))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), path)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, path+".key")
		fill(value, path+".value")
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			switch {
			case field.Anonymous:
				fill(v.Field(i), path)
			case field.IsExported():
				fill(v.Field(i), path+"."+wireName(field))
			}
		}
	default:
		panic(fmt.Sprintf("golden: no value for a %s at %s", v.Type(), path)) // a type in a test that needs a case here
	}
}

// setInt sets a signed or unsigned integer.
func setInt(v reflect.Value, n uint64) {
	if v.CanInt() {
		v.SetInt(int64(n))
	} else {
		v.SetUint(n)
	}
}

// wireName returns the name of a field on the wire: that of its tag, or its own name if it has none.
func wireName(field reflect.StructField) string {
	for _, key := range []string{"cbor", "json"} {
		if name, _, _ := strings.Cut(field.Tag.Get(key), ","); name != "" {
			return name
		}
	}
	return field.Name
}
