package executed

import (
	"fmt"
	"testing"
)

// The latest ids are remembered, each once, and no more than the limit.
func TestIDs(t *testing.T) {
	const limit = 3
	ids := New(limit)
	for i := range 7 {
		for range 2 {
			ids.Add(fmt.Sprint(i))
		}
		for earlier := range i + 1 {
			if got, want := ids.Contains(fmt.Sprint(earlier)), earlier > i-limit; got != want {
				t.Errorf("after id %d: id %d remembered %t, want %t", i, earlier, got, want)
			}
		}
	}
	if len(ids.known) != limit || len(ids.order) != limit {
		t.Errorf("got %d known ids in a ring of %d, want %d", len(ids.known), len(ids.order), limit)
	}
}
