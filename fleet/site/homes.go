package site

import (
	"slices"

	"balsamknot.org/fleet/host"
)

// Homes says in which regions a request may run. The zero value allows all of them.
type Homes struct {
	// Bound is true if only Regions are allowed, of which there may be none.
	Bound   bool
	Regions []host.Region
}

// Allow reports whether the request may run in a region. An empty region stands for one that is not known.
func (h Homes) Allow(r host.Region) bool {
	return !h.Bound || r != "" && slices.Contains(h.Regions, r)
}

// Homes returns the homes of a request on a route for a workspace: what both allow.
func (s *Set) Homes(r *Route, name WorkspaceName) Homes {
	workspace := s.Workspaces[name]
	switch {
	case len(r.Homes) == 0 && len(workspace.Homes) == 0:
		return Homes{}
	case len(r.Homes) == 0:
		return Homes{Bound: true, Regions: workspace.Homes}
	case len(workspace.Homes) == 0:
		return Homes{Bound: true, Regions: r.Homes}
	}
	return Homes{Bound: true, Regions: commonRegions(r.Homes, workspace.Homes)}
}

// commonRegions returns the regions that are in both lists, in the order of the first.
func commonRegions(a, b []host.Region) []host.Region {
	var common []host.Region
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	return common
}

// Homeless returns the routes in the order of the set, and the workspaces in order, whose homes contain none of the known regions: their requests
// can run nowhere.
func (s *Set) Homeless(known []host.Region) (routes []RouteName, workspaces []WorkspaceName) {
	for _, r := range s.Routes {
		if isHomeless(r.Homes, known) {
			routes = append(routes, r.Name)
		}
	}
	for name, w := range s.Workspaces {
		if isHomeless(w.Homes, known) {
			workspaces = append(workspaces, name)
		}
	}
	slices.Sort(workspaces)
	return routes, workspaces
}

func isHomeless(homes, known []host.Region) bool {
	return len(homes) > 0 && len(commonRegions(homes, known)) == 0
}
