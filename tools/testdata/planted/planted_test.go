package planted

import "testing"

func helper(t *testing.T) {
	t.Log("it does not call t.Helper")
}

func TestPlanted(t *testing.T) {
	helper(t)
}
