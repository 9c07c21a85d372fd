package host

import "slices"

// Regions assigns data centres to regions. A data centre that it lacks has no region.
type Regions map[DataCentre]Region

// Known returns the regions in order, each once.
func (r Regions) Known() []Region {
	known := make([]Region, 0, len(r))
	for _, region := range r {
		known = append(known, region)
	}
	slices.Sort(known)
	return slices.Compact(known)
}
