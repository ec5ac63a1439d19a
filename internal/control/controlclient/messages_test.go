package controlclient

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

func nodes() *rapid.Generator[Node] {
	return rapid.Custom(func(t *rapid.T) Node {
		text := rapid.StringN(0, 6, 12)
		return Node{
			Name:        text.Draw(t, "name"),
			Role:        rapid.SampledFrom([]string{RoleProxy, RoleKeeper, RoleStore}).Draw(t, "role"),
			Zone:        text.Draw(t, "zone"),
			Addr:        text.Draw(t, "addr"),
			ControlAddr: text.Draw(t, "control"),
			ID:          rapid.Uint64().Draw(t, "id"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		}
	})
}

func idLists() *rapid.Generator[[]uint64] {
	return rapid.Custom(func(t *rapid.T) []uint64 {
		var list []uint64
		for range rapid.IntRange(0, 3).Draw(t, "ids") {
			list = append(list, rapid.Uint64().Draw(t, "id"))
		}
		return list
	})
}

func tables() *rapid.Generator[*snapshot.PartitionTable] {
	return rapid.Custom(func(t *rapid.T) *snapshot.PartitionTable {
		v := &snapshot.PartitionTable{
			Version:  rapid.Uint64().Draw(t, "version"),
			Stores:   map[uint64]snapshot.Store{},
			Retiring: map[uint64]bool{},
			Stopping: map[uint64]bool{},
		}
		for range rapid.IntRange(0, 4).Draw(t, "partitions") {
			g := idLists()
			v.Partitions = append(v.Partitions, snapshot.Partition{
				Epoch:    rapid.Uint64().Draw(t, "epoch"),
				Primary:  rapid.Uint64().Draw(t, "primary"),
				Replicas: g.Draw(t, "replicas"),
				Joining:  g.Draw(t, "joining"),
				Leaving:  g.Draw(t, "leaving"),
			})
		}
		for _, n := range rapid.SliceOfN(nodes(), 0, 4).Draw(t, "stores") {
			v.Stores[n.ID] = snapshot.Store{ID: n.ID, Name: n.Name, Addr: n.Addr, Zone: n.Zone}
			if rapid.Bool().Draw(t, "retiring") {
				v.Retiring[n.ID] = true
			}
			if rapid.Bool().Draw(t, "stopping") {
				v.Stopping[n.ID] = true
			}
		}
		return v
	})
}

func entries() *rapid.Generator[registry.Entry] {
	return rapid.Custom(func(t *rapid.T) registry.Entry {
		e := registry.Entry{
			Endpoint: snapshot.Endpoint{
				ID:        rapid.StringMatching(`i-[a-f]{1,6}`).Draw(t, "id"),
				Service:   rapid.StringN(0, 5, 9).Draw(t, "service"),
				State:     snapshot.State(rapid.IntRange(0, 2).Draw(t, "state")),
				Capacity:  rapid.IntRange(0, 99).Draw(t, "capacity"),
				CallCount: rapid.Uint64().Draw(t, "count"),
			},
			TimedOut: rapid.Bool().Draw(t, "timed out"),
			Age:      time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * time.Second,
		}
		for range rapid.IntRange(0, 2).Draw(t, "models") {
			e.Models = append(e.Models, snapshot.Model{
				Name:    rapid.StringN(0, 3, 9).Draw(t, "model"),
				Version: rapid.IntRange(-1, 3).Draw(t, "version"),
			})
		}
		return e
	})
}

func updates() *rapid.Generator[*Update] {
	return rapid.Custom(func(t *rapid.T) *Update {
		u := &Update{
			Sequence:          rapid.Uint64().Draw(t, "sequence"),
			FullSync:          rapid.Bool().Draw(t, "full sync"),
			InContact:         rapid.Bool().Draw(t, "in contact"),
			EndpointsComplete: rapid.Bool().Draw(t, "endpoints complete"),
			Proxies:           rapid.IntRange(0, 9).Draw(t, "proxies"),
		}
		if rapid.Bool().Draw(t, "has config") {
			u.Config, u.ConfigVersion = rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "config"), rapid.Uint64().Draw(t, "version")
		}
		if rapid.Bool().Draw(t, "has certificates") {
			u.CertificatesVersion = rapid.Uint64().Draw(t, "certificates' version")
			u.Certificates = rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(t, "certificates")
			if len(u.Certificates) == 0 {
				u.Certificates = nil // an update with the version only
			}
		}
		if rapid.Bool().Draw(t, "has table") {
			u.Table = tables().Draw(t, "table")
		}
		if rapid.Bool().Draw(t, "has keepers") {
			u.Keepers = rapid.SliceOfN(nodes(), 1, 3).Draw(t, "keepers")
		}
		for range rapid.IntRange(0, 3).Draw(t, "entries") {
			u.Entries = append(u.Entries, entries().Draw(t, "entry"))
		}
		return u
	})
}

// TestUpdateRoundTrip checks that decoding returns the encoded update, in which any fields may be absent.
func TestUpdateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := updates().Draw(t, "update")
		b := u.Encode()
		got, err := ReadUpdate(b)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(u, got) {
			t.Fatalf("%+v\nwas decoded as\n%+v", u, got)
		}
		if _, err := ReadUpdate(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("a truncated update was decoded")
		}
	})
}

func TestNodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(nodes(), 1, 5).Draw(t, "nodes")
		w := link.Writer{}
		AppendNodes(&w, list)
		r := link.Reader{Buf: w.Buf}
		if got := ReadNodes(&r); r.Err != nil || !reflect.DeepEqual(got, list) {
			t.Fatalf("%+v, %v", got, r.Err)
		}
	})
}

func FuzzReadUpdate(f *testing.F) {
	seed := &Update{
		Sequence: 1,
		FullSync: true,
		Keepers:  []Node{{Name: "a"}},
		Table:    &snapshot.PartitionTable{Version: 2, Partitions: make([]snapshot.Partition, 2)},
	}
	f.Add(seed.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		u, err := ReadUpdate(b)
		if err != nil {
			return
		}
		again, err := ReadUpdate(u.Encode())
		if err != nil || !reflect.DeepEqual(u, again) {
			t.Fatalf("%+v\n%+v\n%v", u, again, err)
		}
	})
}
