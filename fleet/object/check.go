package object

import (
	"fmt"
	"strings"
)

// maxSetBytes bounds a set: the platform holds values of up to a megabyte.
const maxSetBytes = 1 << 20

// Check reads a published set and returns its objects with every finding.
// It is a pure function of the bytes, so that all nodes reach the same verdict.
// The objects are of use only when the findings don't refuse the set.
func Check(value []byte) (*Objects, Faults) {
	if len(value) > maxSetBytes {
		return nil, Faults{{Severity: Error, Message: "the set is larger than a megabyte", Hint: "the platform holds no more"}}
	}
	sections, faults := readSections(value)
	c := &checker{
		objects: &Objects{
			Workspaces:  make(map[string]Workspace),
			Services:    make(map[string]Service),
			EnginePools: make(map[string]EnginePool),
			Policies:    make(map[string]Policy),
		},
		sections: make(map[string]section),
		faults:   faults,
	}
	for _, s := range sections {
		c.add(s)
	}
	c.checkServices()
	c.checkWorkspaces()
	c.checkUnused()
	if len(c.objects.Workspaces) == 0 {
		c.faults = append(c.faults, Fault{Severity: Error, Message: "the set has no workspace", Hint: "add [Workspace name]"})
	}
	return c.objects, c.faults.sorted()
}

type checker struct {
	objects  *Objects
	sections map[string]section
	faults   Faults
}

func (c *checker) fault(severity Severity, s section, key, message, hint string) {
	line := s.line
	for _, found := range s.keys {
		if found.key == key {
			line = found.line
		}
	}
	c.faults = append(c.faults, Fault{severity, s.object(), key, line, message, hint})
}

func (c *checker) add(s section) {
	if first, ok := c.sections[s.object()]; ok {
		c.fault(Error, s, "", fmt.Sprintf("object stands twice; first on line %d", first.line), "give it another name or merge the two")
		return
	}
	c.sections[s.object()] = s
	switch s.kind {
	case KindWorkspace:
		o := Workspace{Name: s.name, Weight: defaultWeight}
		c.faults = append(c.faults, build(&o, workspaceFields, s)...)
		c.objects.Workspaces[s.name] = o
	case KindService:
		o := Service{Name: s.name}
		c.faults = append(c.faults, build(&o, serviceFields, s)...)
		c.objects.Services[s.name] = o
	case KindEnginePool:
		o := EnginePool{Name: s.name}
		c.faults = append(c.faults, build(&o, enginePoolFields, s)...)
		c.objects.EnginePools[s.name] = o
	case KindPolicy:
		o := defaultPolicy(s.name)
		c.faults = append(c.faults, build(&o, policyFields, s)...)
		c.objects.Policies[s.name] = o
	}
}

func (c *checker) checkServices() {
	models := make(map[string]string)
	paths := make(map[string]string)
	for _, name := range sortedNames(c.objects.Services) {
		o := c.objects.Services[name]
		s := c.sections[string(KindService)+" "+name]
		if _, ok := c.objects.EnginePools[o.Pool]; o.Pool != "" && !ok {
			c.fault(Error, s, "Pool", "no EnginePool "+o.Pool, "add it or name another")
		}
		if _, ok := c.objects.Policies[o.Policy]; o.Policy != "" && !ok {
			c.fault(Error, s, "Policy", "no Policy "+o.Policy, "add it or name another")
		}
		if (o.Model == "") == (o.Path == "") {
			c.fault(Error, s, "", "needs either Model or Path", "Model for chat requests, Path for a plain service")
		}
		c.unique(models, s, "Model", o.Model)
		c.unique(paths, s, "Path", o.Path)
	}
	c.checkPoolKinds()
}

// checkPoolKinds refuses a pool that serves a model for one service and plain calls for another.
func (c *checker) checkPoolKinds() {
	plain := make(map[string]string)
	for _, name := range sortedNames(c.objects.Services) {
		if o := c.objects.Services[name]; o.Path != "" {
			plain[o.Pool] = name
		}
	}
	for _, name := range sortedNames(c.objects.Services) {
		o := c.objects.Services[name]
		if other := plain[o.Pool]; o.Model != "" && other != "" && o.Pool != "" {
			s := c.sections[string(KindService)+" "+name]
			c.fault(Error, s, "Pool", "EnginePool "+o.Pool+" also serves the plain Service "+other, "use a pool for each")
		}
	}
}

func (c *checker) unique(seen map[string]string, s section, key, value string) {
	if value == "" {
		return
	}
	if other, ok := seen[value]; ok {
		c.fault(Error, s, key, "also used by Service "+other, "each service needs its own")
		return
	}
	seen[value] = s.name
}

func (c *checker) checkWorkspaces() {
	hashes := make(map[string]string)
	for _, name := range sortedNames(c.objects.Workspaces) {
		o := c.objects.Workspaces[name]
		s := c.sections[string(KindWorkspace)+" "+name]
		for _, service := range o.Services {
			if _, ok := c.objects.Services[service]; !ok {
				c.fault(Error, s, "Services", "no Service "+service, "add it or take it off the list")
			}
		}
		if other, ok := hashes[o.KeyHash]; ok && o.KeyHash != "" {
			c.fault(Error, s, "KeyHash", "same key as Workspace "+other, "each workspace needs its own")
			continue
		}
		hashes[o.KeyHash] = name
	}
}

func (c *checker) checkUnused() {
	used := make(map[string]bool)
	for _, o := range c.objects.Services {
		used[string(KindPolicy)+" "+o.Policy] = true
		used[string(KindEnginePool)+" "+o.Pool] = true
	}
	for _, o := range c.objects.Workspaces {
		for _, service := range o.Services {
			used[string(KindService)+" "+service] = true
		}
	}
	for _, name := range sortedNames(c.sections) {
		s := c.sections[name]
		if s.kind != KindWorkspace && knownKind(s.kind) && !used[name] {
			c.fault(Warning, s, "", "nothing uses this "+strings.ToLower(string(s.kind)), "remove it or refer to it")
		}
	}
}
