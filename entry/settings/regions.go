package settings

import (
	"fmt"
	"strings"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/inifile"
)

// RegionsVariable is the environment variable with the default of Regions.
const RegionsVariable = "ENTRY_REGIONS"

// regions accepts a list such as dc-1=west,dc-2=east: the region of each data centre, once.
func regions(target *host.Regions) inifile.Setter {
	return func(value string) error {
		parsed := make(host.Regions)
		for entry := range strings.SplitSeq(value, ",") {
			dc, region, _ := strings.Cut(entry, "=")
			dc, region = strings.TrimSpace(dc), strings.TrimSpace(region)
			if dc == "" || region == "" || strings.Contains(region, "=") {
				return fmt.Errorf("%q is not a data centre and its region, such as dc-1=west", entry)
			}
			if _, listed := parsed[host.DataCentre(dc)]; listed {
				return fmt.Errorf("data centre %q is listed twice", dc)
			}
			parsed[host.DataCentre(dc)] = host.Region(region)
		}
		*target = parsed
		return nil
	}
}

// RegionOf returns the region of a data centre; empty if it is not known.
func (h *Host) RegionOf(dc host.DataCentre) host.Region {
	if len(h.Regions) == 0 {
		return h.Region
	}
	return h.Regions[dc]
}

// KnownRegions returns the regions of all data centres in order, each once.
func (h *Host) KnownRegions() []host.Region {
	if len(h.Regions) == 0 {
		return []host.Region{h.Region}
	}
	return h.Regions.Known()
}
