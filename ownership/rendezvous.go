package ownership

import (
	"encoding/binary"
	"sort"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/rendezvous"
)

// Order returns the gateways in the order of their preference as owner of the
// partition, by rendezvous hashing. The weights depend on the id but not on the
// incarnation, so a restarted gateway gets its partitions back.
func Order(p model.Partition, gateways []GatewayRef) []GatewayRef {
	type weighted struct {
		g GatewayRef
		w uint64
	}
	ws := make([]weighted, len(gateways))
	for i, g := range gateways {
		ws[i] = weighted{g, weight(p, g.ID)}
	}
	sort.Slice(ws, func(i, j int) bool {
		if ws[i].w != ws[j].w {
			return ws[i].w > ws[j].w
		}
		return ws[i].g.ID < ws[j].g.ID
	})
	out := make([]GatewayRef, len(ws))
	for i := range ws {
		out[i] = ws[i].g
	}
	return out
}

// Preferred returns the first gateway of Order, and false if gateways is empty.
func Preferred(p model.Partition, gateways []GatewayRef) (GatewayRef, bool) {
	var best GatewayRef
	var bestWeight uint64
	for i, g := range gateways {
		if w := weight(p, g.ID); i == 0 || w > bestWeight || w == bestWeight && g.ID < best.ID {
			best, bestWeight = g, w
		}
	}
	return best, len(gateways) > 0
}

func weight(p model.Partition, id string) uint64 {
	var key [4]byte
	binary.LittleEndian.PutUint32(key[:], uint32(p))
	return rendezvous.Weight(key[:], id)
}
