package site

import (
	"fmt"
	"sync"
	"time"

	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/checker"
)

const (
	// coldTime is how long an endpoint of a site with Config.Cold is cold after a start.
	coldTime = 3 * time.Second
	// coldFallFactor is how many times as many requests within a second as the hosts may send a cold endpoint falls at.
	coldFallFactor = 2
)

// coldPerSecond is how many requests a second an endpoint takes while it is cold, by service. All endpoints of a service together take what callers
// ask for with the bound at each of them.
var coldPerSecond = map[string]float64{"plain": 60, "full": 60, enginesService: 6}

// dataCentreNames are those of the endpoints of a site with Config.Cold. Each has endpoints of both software versions.
var dataCentreNames = []string{standin.DefaultDataCentre, "z2"}

// dataCentre returns the index in dataCentreNames of an endpoint's data centre.
func dataCentre(endpoint int) int { return endpoint / len(engineVersions) % len(dataCentreNames) }

// coldTerms returns what the configuration says of cold endpoints.
func (c Config) coldTerms() standin.ColdTerms {
	if !c.Cold {
		return standin.ColdTerms{}
	}
	return standin.ColdTerms{Time: coldTime, PerSecond: coldPerSecond}
}

// coldEnvironment returns the environment variables with the settings of hosts that concern cold endpoints. Settings files do not have them, since
// earlier releases would refuse these.
func coldEnvironment() []string {
	return []string{fmt.Sprint("ENTRY_COLD_FACTOR=", checker.ColdFactor), fmt.Sprint("ENTRY_COLD_SLACK=", checker.ColdSlack)}
}

// setUpCold puts the endpoints in data centres, and lets those that get too many requests while they are cold fall.
func (s *Site) setUpCold() {
	for i, e := range s.endpoints {
		e.RegisterIn(dataCentreNames[dataCentre(i)])
		e.FallAbove(coldFallFactor*checker.ColdBound(coldPerSecond[e.service]), e.fall)
	}
}

// returnCold ends all endpoints of a data centre at one moment and starts them again after the duration of the fault, so that all of them
// register at one moment.
func (s *Site) returnCold(number int, wait func()) {
	var away []*endpoint
	for i, e := range s.endpoints {
		if dataCentre(i) == number {
			defer s.startEndpointFault(e.name)()
			away = append(away, e)
			e.crash()
		}
	}
	wait()
	s.store.Together(func() {
		var wg sync.WaitGroup
		for _, e := range away {
			wg.Go(e.restart)
		}
		wg.Wait()
	})
}

// turnCold makes the endpoint cold for a time from now on, without registering that.
func (e *endpoint) turnCold(d time.Duration) {
	if !e.site.cfg.Cold {
		return
	}
	e.record(checker.ColdStarted{Endpoint: e.name, For: d, PerSecond: coldPerSecond[e.service]})
	e.TurnCold(d)
}

// fall crashes the endpoint for fallDuration.
func (e *endpoint) fall() {
	defer e.site.startEndpointFault(e.name)()
	e.crash()
	time.Sleep(fallDuration)
	e.restart()
}
