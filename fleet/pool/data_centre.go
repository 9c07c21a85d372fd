package pool

import (
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

// dataCentreCounts counts endpoints by data centre. It holds no zeros.
type dataCentreCounts map[host.DataCentre]int

func (c dataCentreCounts) add(dc host.DataCentre) { c[dc]++ }

func (c dataCentreCounts) remove(dc host.DataCentre) {
	if c[dc]--; c[dc] == 0 {
		delete(c, dc)
	}
}

func (c dataCentreCounts) move(from, to host.DataCentre) {
	c.remove(from)
	c.add(to)
}

// DataCentres returns the data centres with registered endpoints of a service, in order.
func (k *Keeper) DataCentres(name site.ServiceName) []host.DataCentre {
	return sortedKeys(k.service(name).perDataCentre)
}
