package faults

import "testing"

// Separations may overlap: a pair is cut while at least one separation cuts it, and healing one does not affect the pairs that the
// others cut.
func TestSeparationsOverlap(t *testing.T) {
	nodes := []string{"127.0.78.1", "127.0.78.2", "127.0.78.3"}
	hub := openHub(t, nodes...)
	cut := func(pairs ...[2]int) {
		t.Helper()
		want := map[[2]int]bool{}
		for _, pair := range pairs {
			want[pair] = true
		}
		for from := range nodes {
			for to := range nodes {
				if fault, _ := hub.At(from, to); fault.Cut != want[[2]int{from, to}] {
					t.Errorf("from %d to %d: cut is %v", from, to, fault.Cut)
				}
			}
			if fault, _ := hub.At(hub.outside, from); fault.Cut {
				t.Errorf("outside callers do not reach node %d", from)
			}
		}
	}
	separate := func(from, to []string, oneWay bool) (heal func()) {
		t.Helper()
		heal, err := hub.Separate(from, to, oneWay)
		if err != nil {
			t.Fatal(err)
		}
		return heal
	}
	cut()
	healFirst := separate(nodes[:1], nodes[1:], false)
	cut([2]int{0, 1}, [2]int{1, 0}, [2]int{0, 2}, [2]int{2, 0})
	healSecond := separate(nodes[1:2], nodes[:1], true)
	cut([2]int{0, 1}, [2]int{1, 0}, [2]int{0, 2}, [2]int{2, 0})
	healFirst()
	cut([2]int{1, 0})
	healThird := separate(nodes[:2], nodes[2:], true)
	cut([2]int{1, 0}, [2]int{0, 2}, [2]int{1, 2})
	healSecond()
	healThird()
	cut()
	healAnswers := separate(nodes[:1], []string{Outside}, true)
	if fault, _ := hub.At(0, hub.outside); !fault.Cut {
		t.Error("answers to outside callers are not lost")
	}
	cut()
	healAnswers()
	if fault, _ := hub.At(0, hub.outside); fault.Cut {
		t.Error("answers to outside callers are lost after healing")
	}
	if _, err := hub.Separate([]string{"127.0.79.1"}, nodes, false); err == nil {
		t.Error("separated an address that is not a node")
	}
}
