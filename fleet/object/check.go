package object

import (
	"fmt"
	"strings"
)

// maxSetBytes is the maximum size of a set: the platform stores values of up to 1 MiB.
const maxSetBytes = 1 << 20

// Check parses and validates a set and returns its objects and all faults found.
// The result depends on the bytes alone, so that all nodes accept or reject the same set.
// The objects must be used only if Faults.HasErrors is false; they are nil if the set is too large.
func Check(value []byte) (*Objects, Faults) {
	if len(value) > maxSetBytes {
		return nil, Faults{{Severity: Error, Message: "the set is larger than 1 MiB", Hint: "the platform stores at most 1 MiB"}}
	}
	sections, faults := parseSections(value)
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
		c.addSection(s)
	}
	c.checkServices()
	c.checkWorkspaces()
	c.checkUnused()
	if len(c.objects.Workspaces) == 0 {
		c.faults = append(c.faults, Fault{Severity: Error, Message: "the set has no workspace", Hint: "add [Workspace name]"})
	}
	return c.objects, c.faults.sorted()
}

// checker collects the objects and faults of a set; sections holds the section of each object by kind and name.
type checker struct {
	objects  *Objects
	sections map[string]section
	faults   Faults
}

// addFault adds a fault at the line of the section's setting key, or at the section's header if it has no such setting.
func (c *checker) addFault(severity Severity, s section, key, message, hint string) {
	line := s.line
	for _, setting := range s.settings {
		if setting.key == key {
			line = setting.line
		}
	}
	c.faults = append(c.faults, Fault{severity, s.objectName(), key, line, message, hint})
}

func (c *checker) addSection(s section) {
	if first, ok := c.sections[s.objectName()]; ok {
		c.addFault(Error, s, "", fmt.Sprintf("duplicate object; first defined on line %d", first.line), "rename one or merge the two")
		return
	}
	c.sections[s.objectName()] = s
	switch s.kind {
	case KindWorkspace:
		o := Workspace{Name: s.name, Weight: defaultWeight}
		c.faults = append(c.faults, parseObject(&o, workspaceFields, s)...)
		c.objects.Workspaces[s.name] = o
	case KindService:
		o := Service{Name: s.name}
		c.faults = append(c.faults, parseObject(&o, serviceFields, s)...)
		c.objects.Services[s.name] = o
	case KindEnginePool:
		o := EnginePool{Name: s.name}
		c.faults = append(c.faults, parseObject(&o, enginePoolFields, s)...)
		c.objects.EnginePools[s.name] = o
	case KindPolicy:
		o := defaultPolicy(s.name)
		c.faults = append(c.faults, parseObject(&o, policyFields, s)...)
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
			c.addFault(Error, s, "Pool", "no EnginePool "+o.Pool, "define it or refer to another")
		}
		if _, ok := c.objects.Policies[o.Policy]; o.Policy != "" && !ok {
			c.addFault(Error, s, "Policy", "no Policy "+o.Policy, "define it or refer to another")
		}
		if (o.Model == "") == (o.Path == "") {
			c.addFault(Error, s, "", "needs exactly one of Model and Path", "Model for chat requests, Path for a plain service")
		}
		c.checkUnique(models, s, "Model", o.Model)
		c.checkUnique(paths, s, "Path", o.Path)
	}
	c.checkPoolKinds()
}

// checkPoolKinds adds an error for each model service whose pool also serves a plain service.
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
			c.addFault(Error, s, "Pool", "EnginePool "+o.Pool+" also serves the plain Service "+other, "use separate pools")
		}
	}
}

// checkUnique adds an error if another service already has the value for the key; seen maps values to services.
func (c *checker) checkUnique(seen map[string]string, s section, key, value string) {
	if value == "" {
		return
	}
	if other, ok := seen[value]; ok {
		c.addFault(Error, s, key, "also used by Service "+other, "must differ between services")
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
				c.addFault(Error, s, "Services", "no Service "+service, "define it or remove it from the list")
			}
		}
		if other, ok := hashes[o.KeyHash]; ok && o.KeyHash != "" {
			c.addFault(Error, s, "KeyHash", "same key as Workspace "+other, "must differ between workspaces")
			continue
		}
		hashes[o.KeyHash] = name
	}
}

// checkUnused adds a warning for each engine pool, policy and service that no other object refers to.
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
		if s.kind != KindWorkspace && isKnownKind(s.kind) && !used[name] {
			c.addFault(Warning, s, "", "nothing refers to this "+strings.ToLower(string(s.kind)), "remove it or use it")
		}
	}
}
