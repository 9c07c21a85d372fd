package object

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

func sortedNames[T any](objects map[string]T) []string {
	return slices.Sorted(maps.Keys(objects))
}

// Change is what happened to an object between two sets.
type Change string

// Changes of an object.
const (
	Added   Change = "Added"
	Removed Change = "Removed"
	Changed Change = "Changed"
)

// Difference is one object that differs between two sets.
type Difference struct {
	Object string
	Change Change
	// Details names each setting with its old and new value.
	Details []string
}

// Diff returns the differences from one checked set to another, by kind and name.
func Diff(from, to *Objects) []Difference {
	differences := diffKind(KindEnginePool, from.EnginePools, to.EnginePools)
	differences = append(differences, diffKind(KindPolicy, from.Policies, to.Policies)...)
	differences = append(differences, diffKind(KindService, from.Services, to.Services)...)
	return append(differences, diffKind(KindWorkspace, from.Workspaces, to.Workspaces)...)
}

func diffKind[T any](kind Kind, from, to map[string]T) []Difference {
	all := maps.Clone(from)
	maps.Copy(all, to)
	var differences []Difference
	for _, name := range sortedNames(all) {
		before, had := from[name]
		after, has := to[name]
		difference := Difference{Object: string(kind) + " " + name}
		switch {
		case !had:
			difference.Change = Added
		case !has:
			difference.Change = Removed
		default:
			difference.Change = Changed
			difference.Details = diffFields(before, after)
			if len(difference.Details) == 0 {
				continue
			}
		}
		differences = append(differences, difference)
	}
	return differences
}

func diffFields(before, after any) []string {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	var details []string
	for i := range a.NumField() {
		old, now := a.Field(i).Interface(), b.Field(i).Interface()
		if !reflect.DeepEqual(old, now) {
			details = append(details, fmt.Sprintf("%s: %v -> %v", a.Type().Field(i).Name, old, now))
		}
	}
	return details
}

// CheckChange returns warnings about what a change of set takes away from callers:
// a workspace that is gone, or that loses a service it has now.
func CheckChange(from, to *Objects) Faults {
	var faults Faults
	warn := func(name, key, message string) {
		faults = append(faults, Fault{
			Severity: Warning, Object: string(KindWorkspace) + " " + name, Key: key, Message: message,
			Hint: "its callers are refused once the set is in force",
		})
	}
	for _, name := range sortedNames(from.Workspaces) {
		after, ok := to.Workspaces[name]
		if !ok {
			warn(name, "", "the workspace is removed")
			continue
		}
		for _, service := range from.Workspaces[name].Services {
			if !slices.Contains(after.Services, service) {
				warn(name, "Services", "service "+service+" is taken away")
			}
		}
	}
	return faults
}
