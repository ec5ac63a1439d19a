package replica

import (
	"slices"
	"testing"
	"time"

	"dunetide/internal/deliverynode/fleet"
)

// TestUnfitNodesAreRetriedWhereOthersAreTooFew: a node that did not answer in time is not chosen for a copy for a while, but that
// while is short where a log would have too few copies otherwise.
func TestUnfitNodesAreRetriedWhereOthersAreTooFew(t *testing.T) {
	for _, c := range []struct {
		name   string
		copies int
		unfit  []string
		after  time.Duration
		want   []string // sorted
	}{
		{"all are fit", 2, nil, 0, []string{"a", "b", "c"}},
		{"enough others", 2, []string{"a"}, retryUnfitAfter, []string{"b", "c"}},
		{"enough others, after a long time", 2, []string{"a"}, unfitFor, []string{"a", "b", "c"}},
		{"too few others, at first", 2, []string{"a", "b"}, retryUnfitAfter - time.Millisecond, []string{"c"}},
		{"too few others, after a while", 2, []string{"a", "b"}, retryUnfitAfter, []string{"a", "b", "c"}},
		{"none, at first", 1, []string{"a", "b", "c"}, 0, nil},
		{"none, after a while", 1, []string{"a", "b", "c"}, retryUnfitAfter, []string{"a", "b", "c"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Minute
			net := &stubNet{members: []fleet.Member{
				member("a", fleet.Alive), member("b", fleet.Alive), member("c", fleet.Alive), member("d", fleet.Suspect), member("here", fleet.Alive),
			}}
			k := &Keeper{
				options: Options{Net: net, Name: "here", Copies: c.copies, Clock: func() time.Duration { return now }, Locality: func(string) string { return "" }},
				unfit:   map[string]time.Duration{},
			}
			for _, name := range c.unfit {
				k.markUnfit(name)
			}
			now += c.after
			got := k.candidates("owner", 1)
			if fit := len(got) - len(c.unfit); len(got) == 3 && c.after < unfitFor && fit < len(got) && slices.ContainsFunc(got[:fit], func(name string) bool {
				return slices.Contains(c.unfit, name)
			}) {
				t.Errorf("%v: an unfit node comes before a fit one", got)
			}
			if got = slices.Sorted(slices.Values(got)); !slices.Equal(got, c.want) {
				t.Errorf("candidates %v, want %v", got, c.want)
			}
		})
	}
}
