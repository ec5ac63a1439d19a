package replica

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"dunetide/internal/deliverynode/fleet"
)

// stubNet is a fleet of which some members answer whether they have messages of the unreachable member "lost".
type stubNet struct {
	fleet.Net
	members []fleet.Member
	has     map[string][]string // ids, by the name of a node that answers
}

func (n *stubNet) Members() []fleet.Member { return n.members }

func (n *stubNet) Ask(_ context.Context, to, kind string, body []byte) ([]byte, error) {
	ids, answers := n.has[to]
	if !answers {
		return nil, fleet.ErrOutcomeUnknown
	}
	if kind == kindWho {
		return encoding.Marshal(who{[]string{"lost"}})
	}
	var q, a have
	if err := decoding.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	for _, id := range q.IDs {
		if slices.Contains(ids, id) {
			a.IDs = append(a.IDs, id)
		}
	}
	return encoding.Marshal(a)
}

func member(name string, state fleet.State) fleet.Member {
	return fleet.Member{Record: fleet.Record{Name: name}, State: state}
}

func newLookup(net *stubNet) *Keeper {
	clock := func() time.Duration { return 0 }
	return &Keeper{
		options: Options{Net: net, Name: "here", Clock: clock},
		joined:  true,
		missing: map[string]*missing{"lost": {}},
	}
}

// A message that an unreachable member may have accepted does not count as new while a node that has the member's messages,
// and is alive, does not answer.
func TestLookupAtHoldersThatDoNotAnswer(t *testing.T) {
	alive, silent := member("a", fleet.Alive), member("a", fleet.Suspect)
	for _, c := range []struct {
		name    string
		holder  fleet.Member
		holders []string
		has     map[string][]string
		want    bool
		wantErr error
	}{
		{"a holder has it", alive, []string{"a"}, map[string][]string{"a": {"m"}}, true, nil},
		{"a holder does not have it", alive, []string{"a"}, map[string][]string{"a": nil}, false, nil},
		{"a holder does not answer", alive, []string{"a"}, nil, false, ErrUnknown},
		{"a holder is unreachable too", silent, []string{"a"}, nil, false, nil},
		{"one of two has it", alive, []string{"a", "b"}, map[string][]string{"b": {"m"}}, true, nil},
		{"one of two does not have it, the other does not answer", alive, []string{"a", "b"}, map[string][]string{"b": nil}, false, ErrUnknown},
		{"no node holds copies", alive, nil, nil, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newLookup(&stubNet{members: []fleet.Member{c.holder, member("b", fleet.Alive)}, has: c.has})
			k.missing["lost"].holders = c.holders
			got, err := k.Elsewhere("m")
			if got != c.want || !errors.Is(err, c.wantErr) {
				t.Errorf("%v, %v; want %v, %v", got, err, c.want, c.wantErr)
			}
		})
	}
}

// A node that has messages of an unreachable member is still recorded as such after it did not answer once.
func TestHolderThatDoesNotAnswerIsRemembered(t *testing.T) {
	net := &stubNet{
		members: []fleet.Member{member("a", fleet.Alive), member("b", fleet.Alive)},
		has:     map[string][]string{"a": nil, "b": nil},
	}
	k := newLookup(net)
	holders := func() []string {
		k.queryOwners(t.Context(), []string{"lost"})
		return slices.Sorted(slices.Values(k.missing["lost"].holders))
	}
	if got := holders(); !slices.Equal(got, []string{"a", "b"}) {
		t.Fatal(got)
	}
	delete(net.has, "a")
	if got := holders(); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("while one does not answer: %v", got)
	}
}
