package relay

import "time"

// checkInterval is the time between two checks of a path whose open connections are unheard.
const checkInterval = 500 * time.Millisecond

// Unheard reports that nothing comes over an open connection to an address, neither data nor acknowledgements, for longer than an endpoint
// whose path is there would leave it.
type Unheard struct{ Address string }

func (Unheard) event() {}

// Check requests a connection to an address, directly and through a relay beside that. Its result is to be reported as Connected, Failed or Bypassed.
type Check struct{ Address string }

func (Check) command() {}

// unheard checks a path that is used, unless it was checked a short time ago. Paths that are gone or doubted are probed anyway.
func (t *Table) unheard(now time.Time, address string) []Command {
	p := t.paths[address]
	if p == nil || p.state != direct || now.Before(p.checkAt) {
		return nil
	}
	p.checkAt = now.Add(checkInterval)
	return []Command{Check{address}}
}
