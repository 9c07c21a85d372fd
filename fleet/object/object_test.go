package object

import (
	"flag"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A fixed seed makes the property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "20261204") }

const validKeyHash = "0000000000000000000000000000000000000000000000000000000000000001"

const validSet = `
[Policy closing]
LoadFactor = 1.25
Deadline = 60s

[EnginePool assistant]

[Service assistant]
Pool = assistant
Policy = closing
Model = m

[Workspace gent]
KeyHash = ` + validKeyHash + `
Services = assistant
`

func TestCheckAcceptsExampleSets(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"retourvat", "arhiva"} {
		value, err := os.ReadFile("../../examples/" + name + "/set.ini")
		require.NoError(t, err)
		objects, faults := Check(value)
		require.Empty(t, faults, name)
		require.Len(t, objects.Workspaces, 10)
	}
}

func TestCheckReturnsAllFaultsOfSet(t *testing.T) {
	t.Parallel()
	_, faults := Check([]byte(`[Workspace gent]
KeyHash = abc
Services = assistant, nowhere
Weight = heavy

[Service assistant]
Pool = missing
Policy = closing
Policy = other
Colour = red
Deadline

[Policy closing]
LoadFactor = 0.5
Deadline = 60
[Policy closing]
[Plate x]
[EnginePool Unused]
`))
	var lines []string
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	require.Equal(t, []string{
		"line 2: Workspace gent KeyHash: not a SHA-256 in hexadecimal (64 hexadecimal digits, the SHA-256 of the bearer key)",
		"line 3: Workspace gent Services: no Service nowhere (define it or remove it from the list)",
		`line 4: Workspace gent Weight: "heavy" is not a number from 1 to 1000 (a number from 1 to 1000)`,
		"line 6: Service assistant: needs exactly one of Model and Path (Model for chat requests, Path for a plain service)",
		"line 7: Service assistant Pool: no EnginePool missing (define it or refer to another)",
		"line 9: Service assistant Policy: duplicate setting; first set on line 8 (remove one)",
		"line 10: Service assistant Colour: unknown setting (one of Pool, Policy, Model, Path, Repeatable)",
		"line 11: Service assistant: not a setting (write Key = value)",
		`line 14: Policy closing LoadFactor: "0.5" is not a number from 1 to 10 (a number from 1 to 10)`,
		`line 15: Policy closing Deadline: "60" is not a duration with a unit (a duration such as 60s, at most 1h)`,
		"line 16: Policy closing: duplicate object; first defined on line 13 (rename one or merge the two)",
		"line 17: Plate x: unknown kind of object (Workspace, Service, EnginePool or Policy)",
		"line 18: EnginePool Unused: invalid name (1 to 63 of a-z, 0-9 and -, starting with a letter)",
		"line 18: EnginePool Unused: nothing refers to this enginepool (remove it or use it)",
	}, lines)
}

func TestCheckAcceptsSetWithOnlyWarnings(t *testing.T) {
	t.Parallel()
	_, faults := Check([]byte(validSet + "[Policy spare]\nLoadFactor = 2\nDeadline = 1s\n"))
	require.Len(t, faults, 1)
	require.False(t, faults.HasErrors())
}

func TestDiffListsChangedSettingsAndCheckChangeWarnsOfRemovedWorkspace(t *testing.T) {
	t.Parallel()
	before, _ := Check([]byte(validSet))
	after, faults := Check([]byte(strings.ReplaceAll(validSet, "1.25", "2") + "[Workspace liege]\nKeyHash = " + strings.Repeat("1", 64) + "\nServices = assistant\n"))
	require.False(t, faults.HasErrors(), faults.Error())
	require.Equal(t, []Difference{
		{Object: "Policy closing", Change: Changed, Details: []string{"LoadFactor: 1.25 -> 2"}},
		{Object: "Workspace liege", Change: Added},
	}, Diff(before, after))
	warnings := CheckChange(after, before)
	require.Len(t, warnings, 1)
	require.Equal(t, "Workspace liege", warnings[0].Object)
}

// For arbitrary sections, Check must not panic, and shuffling the sections must change neither the outcome nor the number
// of faults. Sets with duplicate or additional headers are not shuffled: Check keeps the first of two objects of one kind and
// name, so that their order matters.
func TestCheckResultDoesNotDependOnSectionOrder(t *testing.T) {
	t.Parallel()
	lines := []string{
		"[Policy closing]", "[Policy p2]", "[EnginePool assistant]", "[Service assistant]", "[Service s2]", "[Workspace gent]",
		"[Workspace", "[]", "LoadFactor = 1.25", "Deadline = 60s", "Pool = assistant", "Policy = closing", "Model = m", "Path = /x/",
		"KeyHash = " + validKeyHash, "Services = assistant", "Services = ,", "= 3", "x", "Weight = NaN", "\x00", "# note", "Policy = \"closing",
	}
	rapid.Check(t, func(t *rapid.T) {
		var sections []string
		for range rapid.IntRange(1, 6).Draw(t, "sections") {
			body := rapid.SliceOfN(rapid.SampledFrom(lines), 1, 6).Draw(t, "lines")
			sections = append(sections, rapid.SampledFrom(lines[:6]).Draw(t, "header")+"\n"+strings.Join(body, "\n")+"\n")
		}
		_, faults := Check([]byte(strings.Join(sections, "")))
		headers := map[string]bool{}
		for _, s := range sections {
			header, _, _ := strings.Cut(s, "\n")
			headers[header] = true
		}
		if len(headers) < len(sections) || strings.Count(strings.Join(sections, ""), "[") > len(sections) {
			return
		}
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		random.Shuffle(len(sections), func(i, j int) { sections[i], sections[j] = sections[j], sections[i] })
		_, shuffled := Check([]byte(strings.Join(sections, "")))
		require.Equal(t, faults.HasErrors(), shuffled.HasErrors())
		require.Len(t, shuffled, len(faults))
	})
}

func FuzzCheck(f *testing.F) {
	f.Add([]byte(validSet))
	f.Add([]byte("[Workspace gent]\nKeyHash"))
	f.Fuzz(func(t *testing.T, value []byte) {
		_, first := Check(value)
		_, second := Check(value)
		require.Equal(t, first, second)
	})
}

func BenchmarkCheckLargeSet(b *testing.B) {
	var set strings.Builder
	set.WriteString(validSet)
	for i := range 3600 {
		set.WriteString("[Workspace w")
		set.WriteString(strings.Repeat("x", i%20))
		set.WriteString(strings.Repeat("y", i/20%20) + strings.Repeat("z", i/400) + "]\nKeyHash = " + validKeyHash + "\nServices = assistant\n")
	}
	b.SetBytes(int64(set.Len()))
	b.ReportAllocs()
	for b.Loop() {
		Check([]byte(set.String()))
	}
}
