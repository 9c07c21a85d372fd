// Package forecast expects how long answers will be, by what was seen of earlier ones.
//
// Lengths are in events of a stream and follow a log-normal distribution, of which a decaying mean and variance are kept for each kind of request:
// for its route, workspace and model, for its route, and for all. A kind with few answers leans on the wider one. Callers' hints are read against
// what followed them, by workspace: how much they are off on average, and how widely. Both are joined by their precision, so that hints which say
// little count for little. The zero knowledge of a start is a wide distribution around a usual length, or around the caller's hint.
//
// Source: Gelman et al., "Bayesian Data Analysis", third edition, sections 2.5 and 5.4, on joining normal estimates and on partial pooling.
package forecast

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"balsamknot.org/fleet/site"
)

const (
	// maxKinds is the number of kinds of request, and of workspaces with hints, whose lengths are kept.
	maxKinds = 4096
	// memory is the number of answers after which an observation has lost most of its weight.
	memory = 48.0
	// pooling is the weight of the wider kind, in answers.
	pooling = 4.0
	// initialEvents and initialSpread are the median length in events before anything was seen, and the standard deviation of its logarithm.
	initialEvents = 30.0
	initialSpread = 1.2
	// initialEventTokens is the number of tokens in an event before anything was seen, and initialHintSpread the standard deviation of the
	// logarithm of a hint's error.
	initialEventTokens = 8.0
	initialHintSpread  = 0.7
	// minSpread is the least standard deviation of a logarithm, so that a run of equal answers does not make the next one certain.
	minSpread = 0.2
	// maxEvents bounds the expected length of an answer, in events.
	maxEvents = 4096.0
)

// Kind is what lengths are learned by.
type Kind struct {
	Route     site.RouteName
	Workspace site.WorkspaceName
	Model     string
}

// Request is what is known of a request before it runs.
type Request struct {
	Kind
	// HintTokens is the caller's estimate of the answer's length in tokens; 0 if it gave none.
	HintTokens int
	// MaxTokens limits the length of the answer in tokens; 0 if nothing does.
	MaxTokens int
}

// Forecaster expects lengths of answers. It is not safe for concurrent use.
type Forecaster struct {
	all     moments
	routes  *simplelru.LRU[site.RouteName, *moments]
	kinds   *simplelru.LRU[Kind, *moments]
	allHint moments
	hints   *simplelru.LRU[site.WorkspaceName, *moments]
}

// New returns a forecaster that has seen nothing.
func New() *Forecaster {
	return &Forecaster{
		all:     moments{mean: math.Log(initialEvents), variance: initialSpread * initialSpread},
		allHint: moments{mean: -math.Log(initialEventTokens), variance: initialHintSpread * initialHintSpread},
		routes:  newKept[site.RouteName](), kinds: newKept[Kind](), hints: newKept[site.WorkspaceName](),
	}
}

func newKept[K comparable]() *simplelru.LRU[K, *moments] {
	kept, err := simplelru.NewLRU[K, *moments](maxKinds, nil)
	if err != nil {
		panic(err) // only for a size of 0 or less
	}
	return kept
}

// Expect returns the length to expect of a request's answer.
func (f *Forecaster) Expect(r Request) Length {
	length := f.kind(r.Kind)
	if r.HintTokens > 0 {
		length = length.join(f.hint(r))
	}
	return length.atMost(r.MaxTokens, f.allHint.mean)
}

// Observe takes in the length of a complete answer, in events.
func (f *Forecaster) Observe(r Request, events int) {
	if events <= 0 {
		return
	}
	logEvents := math.Log(float64(events))
	f.all.add(logEvents)
	observe(f.routes, r.Route, logEvents)
	observe(f.kinds, r.Kind, logEvents)
	if r.HintTokens > 0 {
		ratio := logEvents - math.Log(float64(r.HintTokens))
		f.allHint.add(ratio)
		observe(f.hints, r.Workspace, ratio)
	}
}

// MeanEvents returns the mean length of all answers, in events.
func (f *Forecaster) MeanEvents() float64 { return f.all.length().Mean() }

func (f *Forecaster) kind(k Kind) Length {
	wider := f.all
	if route, found := f.routes.Peek(k.Route); found {
		wider = route.pooled(f.all)
	}
	if kind, found := f.kinds.Peek(k); found {
		return kind.pooled(wider).length()
	}
	return wider.length()
}

// hint returns the length that a hint stands for.
func (f *Forecaster) hint(r Request) Length {
	ratio := f.allHint
	if workspace, found := f.hints.Peek(r.Workspace); found {
		ratio = workspace.pooled(f.allHint)
	}
	length := ratio.length()
	length.mean += math.Log(float64(r.HintTokens))
	return length
}

func observe[K comparable](kept *simplelru.LRU[K, *moments], key K, x float64) {
	m, found := kept.Get(key)
	if !found {
		m = &moments{}
		kept.Add(key, m)
	}
	m.add(x)
}
