package controlclient

import (
	"reflect"
	"testing"

	"dunetide/internal/platform/link"
)

func TestKeeperReportRoundTrip(t *testing.T) {
	for _, want := range []KeeperReport{
		{},
		{InContact: true, Slots: []uint64{1, 2, 3}, Heard: []uint64{7}},
		{Leaving: true, Heard: []uint64{1, 1 << 63}},
	} {
		w := link.Writer{}
		want.Append(&w)
		r := link.Reader{B: w.B}
		got := ReadKeeperReport(&r)
		if r.Err != nil || len(r.B) != 0 || !reflect.DeepEqual(got, want) {
			t.Errorf("%+v, %d bytes left, %v, want %+v", got, len(r.B), r.Err, want)
		}
		short := link.Reader{B: w.B[:len(w.B)-1]}
		if ReadKeeperReport(&short); short.Err == nil {
			t.Errorf("%+v was read from a message that was cut", want)
		}
	}
}
