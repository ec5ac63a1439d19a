package node

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"net/netip"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"dunetide/internal/lab/golden"
	"dunetide/internal/platform/upstream"
	"dunetide/policy"
)

// goldenJSON tests the body of a message between the processes of a group.
func goldenJSON[T any](t *testing.T, name string) {
	t.Helper()
	golden.Codec(t, name, func(v T) ([]byte, error) { return json.Marshal(v) },
		func(text []byte, v *T) error { return json.Unmarshal(text, v) })
}

// The messages between the processes of a group, as encoded by an earlier version, decode to the same values and encode to the
// same bytes.
func TestGoldenGroupMessages(t *testing.T) {
	goldenJSON[waitMessage](t, "wait.json")
	goldenJSON[verdictMessage](t, "verdict.json")
	goldenJSON[orderRequest](t, "order.json")
	goldenJSON[orderAnswer](t, "order-answer.json")
	goldenJSON[yesNo](t, "yes-no.json")
	goldenJSON[memberState](t, "state.json")
}

// The list that discovery sends, and the console's status pages.
func TestGoldenDiscoveryAndConsole(t *testing.T) {
	golden.JSON[list](t, "discovery-list.json")
	golden.JSON[groupStatus](t, "ops-group.json")
	golden.JSON[upstream.Overview](t, "ops-pools.json")
}

// goldenHandover has the messages between the two processes of a handover, in this order in one stream each way. They are
// encoded while the package is initialized, because gob numbers types in the order in which a process first encodes them.
var goldenHandover = func() map[string]func() ([]byte, error) {
	one, other := golden.Filled[passedOn](), golden.Filled[snapshot]()
	all := map[string]func() ([]byte, error){}
	add := func(name string, values ...any) {
		var b bytes.Buffer
		enc := gob.NewEncoder(&b)
		var err error
		for _, v := range values {
			if err == nil {
				err = enc.Encode(v)
			}
		}
		all[name] = func() ([]byte, error) { return b.Bytes(), err }
	}
	add("handover-old.gob", other, true, golden.Filled[answer](), answer{})
	add("handover-new.gob", "name", true, one, passedOn{Order: &staffOrder{Endpoint: "s1"}})
	return all
}()

func TestGoldenHandover(t *testing.T) {
	for name, encoded := range goldenHandover {
		text, err := encoded()
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, name, text)
	}
	var got snapshot
	var free bool
	var answers [2]answer
	decodeGob(t, "handover-old.gob", &got, &free, &answers[0], &answers[1])
	if !reflect.DeepEqual(got, golden.Filled[snapshot]()) || !free || answers[0] != golden.Filled[answer]() || answers[1] != (answer{}) {
		t.Errorf("read %+v, %v, %+v", got, free, answers)
	}
	var name string
	var taken bool
	var passed [2]passedOn
	decodeGob(t, "handover-new.gob", &name, &taken, &passed[0], &passed[1])
	if name != "name" || !taken || !reflect.DeepEqual(passed[0], golden.Filled[passedOn]()) ||
		!reflect.DeepEqual(passed[1], passedOn{Order: &staffOrder{Endpoint: "s1"}}) {
		t.Errorf("read %q, %v, %+v", name, taken, passed)
	}
}

// decodeGob reads the values of a golden stream.
func decodeGob(t *testing.T, name string, values ...any) {
	t.Helper()
	dec := gob.NewDecoder(bytes.NewReader(golden.Read(t, name)))
	for _, v := range values {
		if err := dec.Decode(v); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
}

// A recorded configuration file with each known key decodes to the same values.
func TestGoldenConfig(t *testing.T) {
	path := filepath.Join(golden.Dir, "config.json")
	env := map[string]string{"PROXY_CONFIG": path, "PROXY_STATE": "state", "PROXY_ACCEPT_FD": "5"}
	got, err := LoadConfig(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	want := Config{
		Name:      "n7",
		Listen:    "10.0.0.1:8101",
		Discovery: "10.0.0.2:8103",
		State:     "state",
		Seed:      0x8c1f30d27a5be964,
		Cores:     1.5,
		MemoryMB:  192,
		Sockets:   256,
		DiskBytes: 3500000,
		PeerBind:  "10.0.0.1:8104",
		Peers:     []netip.AddrPort{netip.MustParseAddrPort("10.0.0.3:8105"), netip.MustParseAddrPort("10.0.0.4:8106")},
		PeersAll:  "10.0.0.5:8107",
		Me:        2,
		Console:   "10.0.0.1:8102",
		AcceptFD:  5,
		Path:      path,
		Known: list{Revision: 41, Complete: true, Members: []member{{ID: "s1", HostPort: "10.0.0.6:8108", Locality: "a", Flavor: "general",
			Cell: 7, Phase: "active", Size: 100.5, UpSince: 1764600000123}}},
		Settings: policy.Settings{
			Senders: 3,
			Classes: []policy.Class{{Repeat: policy.Idempotent}, {Repeat: policy.AtMostOnce}},
			Kinds:   []policy.Kind{{BundleMax: 1}, {BundleMax: 1}},
		},
		Names: names{
			classes: map[string]int{"gate-check": 0, "renewal": 1},
			kinds:   map[string]int{"major": 0, "general": 1},
			zones:   map[string]int{"a": 0, "b": 1, "c": 2},
		},
		IdleClose: 15000001 * time.Microsecond,
		AskEvery:  2000002 * time.Microsecond,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwant\n%+v", got, want)
	}
}
