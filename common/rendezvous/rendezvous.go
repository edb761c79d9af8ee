// Package rendezvous implements rendezvous hashing (highest random weight; Thaler
// and Ravishankar 1998): processes that know the same nodes agree on their order
// for a key without communicating.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a node for a key. The node with the highest weight
// comes first.
func Weight[K ~string | ~[]byte](key K, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte(key))
	_, _ = d.WriteString(node)
	return d.Sum64()
}
