package rendezvous

import (
	"fmt"
	"testing"
)

// Guards against a hash that gives similar weights to addresses that differ only in
// their last digits: all agents would link to the same few gateways.
func TestSimilarNodeNamesAreRankedFirstEquallyOften(t *testing.T) {
	const keys, nodes = 6000, 12
	first := map[string]int{}
	for k := range keys {
		var best string
		var top uint64
		for n := range nodes {
			node := fmt.Sprintf("10.1.0.%d:7720", n+1)
			if w := Weight(fmt.Sprintf("side-%d\x00", k), node); w > top {
				best, top = node, w
			}
		}
		first[best]++
	}
	for node, n := range first {
		if mean := keys / nodes; n < mean*8/10 || n > mean*12/10 {
			t.Errorf("%s is first for %d of %d keys", node, n, keys)
		}
	}
	if len(first) != nodes {
		t.Errorf("%d of %d nodes are first for a key", len(first), nodes)
	}
}

// Guards against a weight that depends on whether the key is a string or bytes.
func TestBytesAndStringKeysHaveEqualWeight(t *testing.T) {
	if a, b := Weight("key", "node"), Weight([]byte("key"), "node"); a != b {
		t.Errorf("%x as a string, %x as bytes", a, b)
	}
}
