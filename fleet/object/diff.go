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

// Change is the way in which an object differs between two sets.
type Change string

// The ways in which an object can differ.
const (
	Added   Change = "Added"
	Removed Change = "Removed"
	Changed Change = "Changed"
)

// Difference describes one object that differs between two sets.
type Difference struct {
	Object string
	Change Change
	// Details lists each changed setting with its old and new value; empty for objects that were added or removed.
	Details []string
}

// Diff returns the objects that differ between two valid sets, ordered by kind and name.
func Diff(from, to *Objects) []Difference {
	differences := diffKind(KindEnginePool, from.EnginePools, to.EnginePools)
	differences = append(differences, diffKind(KindPolicy, from.Policies, to.Policies)...)
	differences = append(differences, diffKind(KindService, from.Services, to.Services)...)
	return append(differences, diffKind(KindWorkspace, from.Workspaces, to.Workspaces)...)
}

func diffKind[T any](kind Kind, from, to map[string]T) []Difference {
	names := maps.Clone(from)
	maps.Copy(names, to)
	var differences []Difference
	for _, name := range sortedNames(names) {
		before, existed := from[name]
		after, exists := to[name]
		difference := Difference{Object: string(kind) + " " + name}
		switch {
		case !existed:
			difference.Change = Added
		case !exists:
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

// diffFields returns one line for each field that differs between two structs of the same type.
func diffFields(before, after any) []string {
	beforeValue, afterValue := reflect.ValueOf(before), reflect.ValueOf(after)
	var details []string
	for i := range beforeValue.NumField() {
		oldSetting, newSetting := beforeValue.Field(i).Interface(), afterValue.Field(i).Interface()
		if !reflect.DeepEqual(oldSetting, newSetting) {
			details = append(details, fmt.Sprintf("%s: %v -> %v", beforeValue.Type().Field(i).Name, oldSetting, newSetting))
		}
	}
	return details
}

// CheckChange compares a set with its successor. It returns a warning for each workspace that only the set from has, and for each
// service that a workspace may use in the set from but not in the set to. Callers that still use them would be refused.
func CheckChange(from, to *Objects) Faults {
	var faults Faults
	addWarning := func(name, key, message string) {
		faults = append(faults, Fault{
			Severity: Warning, Object: string(KindWorkspace) + " " + name, Key: key, Message: message,
			Hint: "its callers are refused as soon as the set is in force",
		})
	}
	for _, name := range sortedNames(from.Workspaces) {
		after, ok := to.Workspaces[name]
		if !ok {
			addWarning(name, "", "the workspace is removed")
			continue
		}
		for _, service := range from.Workspaces[name].Services {
			if !slices.Contains(after.Services, service) {
				addWarning(name, "Services", "service "+service+" is removed from the workspace")
			}
		}
	}
	return faults
}
