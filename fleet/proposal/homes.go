package proposal

import (
	"maps"
	"slices"
	"strings"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

// checkHomes checks the regions in which requests may run. Which regions there are is not known here.
func (c *check) checkHomes() {
	for _, r := range c.set.Routes {
		c.checkRegions(routeObject(r.Name), r.Homes)
		c.checkCommonHomes(r)
	}
	for _, name := range slices.Sorted(maps.Keys(c.set.Workspaces)) {
		c.checkRegions(workspaceObject(name), c.set.Workspaces[name].Homes)
	}
}

func (c *check) checkRegions(o Object, homes []host.Region) {
	seen := make(map[host.Region]bool)
	for _, region := range homes {
		switch {
		case region == "":
			c.warnf(o, "a region in which its requests may run has no name")
		case seen[region]:
			c.warnf(o, "region %s is listed twice", region)
		}
		seen[region] = true
	}
}

// checkCommonHomes checks that the requests of each workspace on a route may run somewhere. Public routes have no workspace.
func (c *check) checkCommonHomes(r site.Route) {
	if r.Public || len(r.Homes) == 0 {
		return
	}
	var none []string
	for _, name := range slices.Sorted(maps.Keys(c.set.Workspaces)) {
		if homes := c.set.Homes(&r, name); homes.Bound && len(homes.Regions) == 0 {
			none = append(none, string(name))
		}
	}
	if len(none) > 0 {
		c.warnf(routeObject(r.Name), "requests of %d workspaces are refused, which may run in none of its regions: %s", len(none), firstOf(none))
	}
}

// maxNamed is how many workspaces a finding names.
const maxNamed = 5

func firstOf(names []string) string {
	if len(names) <= maxNamed {
		return strings.Join(names, ", ")
	}
	return strings.Join(names[:maxNamed], ", ") + ", ..."
}

// regionsOf returns the regions in order, or "any" if there are none.
func regionsOf(homes []host.Region) string {
	if len(homes) == 0 {
		return "any"
	}
	names := make([]string, 0, len(homes))
	for _, region := range slices.Sorted(slices.Values(homes)) {
		names = append(names, string(region))
	}
	return strings.Join(names, ", ")
}
