package upstream

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"dunetide/internal/lab/golden"
)

// The JSON encoding of the overview, which the delivery node's console serves. The golden files were written by the
// sources of faf8ea2.
func TestGoldenOverview(t *testing.T) {
	o := Overview{Open: 1, MaxOpen: 2, Waiting: 3, Omitted: 4, Pools: []Stat{
		{"e", "a:1", 5, 6, 7, 8, 9, 10.5, 11, 12, 13, 14, 15, 16, true},
		{Endpoint: "f"},
	}}
	written, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "overview.json", written)
	b := golden.Read(t, "overview.json")
	var got Overview
	if err := json.Unmarshal(b, &got); err != nil || !reflect.DeepEqual(got, o) {
		t.Errorf("%+v, %v", got, err)
	}
}

// The gob encoding of the learned state, which one process passes to the next; gob uses the names of the fields.
func TestGoldenMemory(t *testing.T) {
	at := time.Date(2026, 6, 1, 12, 13, 14, 15, time.UTC)
	memory := []Learnt{
		{IdleAt: at, Uses: []float64{1, 2}, Broken: []float64{3, 4}},
		{Name: "e", Addr: "a:1", Since: 5, Cap: 6.5, GrowAt: at.Add(time.Second), IdleAt: at.Add(time.Minute), Uses: []float64{7}, Broken: []float64{8}},
	}
	b := golden.Read(t, "memory.gob")
	var got []Learnt
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&got); err != nil || !reflect.DeepEqual(got, memory) {
		t.Errorf("%+v, %v", got, err)
	}
	var names []string
	for i := range reflect.TypeFor[Learnt]().NumField() {
		names = append(names, reflect.TypeFor[Learnt]().Field(i).Name)
	}
	if want := []string{"Name", "Addr", "Since", "Cap", "GrowAt", "IdleAt", "Uses", "Broken"}; !reflect.DeepEqual(names, want) {
		t.Errorf("fields %v", names)
	}
}
