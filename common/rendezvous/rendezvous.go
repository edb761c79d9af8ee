// Package rendezvous weighs nodes for keys, so that processes which know the same
// nodes agree on an order without a message (highest random weight; Thaler and
// Ravishankar 1998).
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a node for a key.
func Weight[K ~string | ~[]byte](key K, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte(key))
	_, _ = d.WriteString(node)
	return d.Sum64()
}
