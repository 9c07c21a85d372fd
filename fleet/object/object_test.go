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

// Property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "20261204") }

const hash = "0000000000000000000000000000000000000000000000000000000000000001"

const goodSet = `
[Policy closing]
LoadFactor = 1.25
Deadline = 60s

[EnginePool assistant]

[Service assistant]
Pool = assistant
Policy = closing
Model = m

[Workspace gent]
KeyHash = ` + hash + `
Services = assistant
`

func TestExamplesAreAccepted(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"retourvat", "arhiva"} {
		value, err := os.ReadFile("../../examples/" + name + "/set.ini")
		require.NoError(t, err)
		objects, faults := Check(value)
		require.Empty(t, faults, name)
		require.Len(t, objects.Workspaces, 10)
	}
}

func TestEveryFaultIsListedAtOnce(t *testing.T) {
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
		"line 3: Workspace gent Services: no Service nowhere (add it or take it off the list)",
		`line 4: Workspace gent Weight: "heavy" is not a number from 1 to 1000 (a number from 1 to 1000)`,
		"line 6: Service assistant: needs either Model or Path (Model for chat requests, Path for a plain service)",
		"line 7: Service assistant Pool: no EnginePool missing (add it or name another)",
		"line 9: Service assistant Policy: set again; first on line 8 (keep one)",
		"line 10: Service assistant Colour: unknown setting (one of Pool, Policy, Model, Path, Repeatable)",
		"line 11: Service assistant: not a setting (write Key = value)",
		`line 14: Policy closing LoadFactor: "0.5" is not a number from 1 to 10 (a number from 1 to 10)`,
		`line 15: Policy closing Deadline: "60" is not a time with a unit (a time like 60s, at most 1h)`,
		"line 16: Policy closing: object stands twice; first on line 13 (give it another name or merge the two)",
		"line 17: Plate x: unknown kind of object (Workspace, Service, EnginePool or Policy)",
		"line 18: EnginePool Unused: bad name (1 to 63 of a-z, 0-9 and -, beginning with a letter)",
		"line 18: EnginePool Unused: nothing uses this enginepool (remove it or refer to it)",
	}, lines)
}

func TestWarningsDontRefuse(t *testing.T) {
	t.Parallel()
	_, faults := Check([]byte(goodSet + "[Policy spare]\nLoadFactor = 2\nDeadline = 1s\n"))
	require.Len(t, faults, 1)
	require.False(t, faults.Refuses())
}

func TestDifferencesNameEachSetting(t *testing.T) {
	t.Parallel()
	before, _ := Check([]byte(goodSet))
	after, faults := Check([]byte(strings.ReplaceAll(goodSet, "1.25", "2") + "[Workspace liege]\nKeyHash = " + strings.Repeat("1", 64) + "\nServices = assistant\n"))
	require.False(t, faults.Refuses(), faults.Error())
	require.Equal(t, []Difference{
		{Object: "Policy closing", Change: Changed, Details: []string{"LoadFactor: 1.25 -> 2"}},
		{Object: "Workspace liege", Change: Added},
	}, Diff(before, after))
	stranded := CheckChange(after, before)
	require.Len(t, stranded, 1)
	require.Equal(t, "Workspace liege", stranded[0].Object)
}

// The verdict does not depend on the order of sections, and no set makes the check panic.
func TestVerdictDoesNotDependOnOrder(t *testing.T) {
	t.Parallel()
	words := []string{
		"[Policy closing]", "[Policy p2]", "[EnginePool assistant]", "[Service assistant]", "[Service s2]", "[Workspace gent]",
		"[Workspace", "[]", "LoadFactor = 1.25", "Deadline = 60s", "Pool = assistant", "Policy = closing", "Model = m", "Path = /x/",
		"KeyHash = " + hash, "Services = assistant", "Services = ,", "= 3", "x", "Weight = NaN", "\x00", "# note", "Policy = \"closing",
	}
	rapid.Check(t, func(t *rapid.T) {
		var sections []string
		for range rapid.IntRange(1, 6).Draw(t, "sections") {
			body := rapid.SliceOfN(rapid.SampledFrom(words), 1, 6).Draw(t, "lines")
			sections = append(sections, rapid.SampledFrom(words[:6]).Draw(t, "header")+"\n"+strings.Join(body, "\n")+"\n")
		}
		_, faults := Check([]byte(strings.Join(sections, "")))
		unique := map[string]bool{}
		for _, s := range sections {
			header, _, _ := strings.Cut(s, "\n")
			unique[header] = true
		}
		if len(unique) < len(sections) || strings.Count(strings.Join(sections, ""), "[") > len(sections) {
			return
		}
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		random.Shuffle(len(sections), func(i, j int) { sections[i], sections[j] = sections[j], sections[i] })
		_, shuffled := Check([]byte(strings.Join(sections, "")))
		require.Equal(t, faults.Refuses(), shuffled.Refuses())
		require.Len(t, shuffled, len(faults))
	})
}

func FuzzCheck(f *testing.F) {
	f.Add([]byte(goodSet))
	f.Add([]byte("[Workspace gent]\nKeyHash"))
	f.Fuzz(func(t *testing.T, value []byte) {
		_, first := Check(value)
		_, second := Check(value)
		require.Equal(t, first, second)
	})
}

func BenchmarkCheckLargeSet(b *testing.B) {
	var set strings.Builder
	set.WriteString(goodSet)
	for i := range 3600 {
		set.WriteString("[Workspace w")
		set.WriteString(strings.Repeat("x", i%20))
		set.WriteString(strings.Repeat("y", i/20%20) + strings.Repeat("z", i/400) + "]\nKeyHash = " + hash + "\nServices = assistant\n")
	}
	b.SetBytes(int64(set.Len()))
	b.ReportAllocs()
	for b.Loop() {
		Check([]byte(set.String()))
	}
}
