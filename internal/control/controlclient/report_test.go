package controlclient

import (
	"reflect"
	"testing"

	"dunetide/internal/platform/link"
)

func TestKeeperReportRoundTrip(t *testing.T) {
	for _, want := range []KeeperReport{
		{},
		{InContact: true, DecidedSlots: []uint64{1, 2, 3}, ConnectedVoters: []uint64{7}},
		{Stopping: true, ConnectedVoters: []uint64{1, 1 << 63}},
	} {
		w := link.Writer{}
		want.Append(&w)
		r := link.Reader{Buf: w.Buf}
		got := ReadKeeperReport(&r)
		if r.Err != nil || len(r.Buf) != 0 || !reflect.DeepEqual(got, want) {
			t.Errorf("%+v, %d bytes left, %v, want %+v", got, len(r.Buf), r.Err, want)
		}
		short := link.Reader{Buf: w.Buf[:len(w.Buf)-1]}
		if ReadKeeperReport(&short); short.Err == nil {
			t.Errorf("%+v was decoded from a truncated message", want)
		}
	}
}
