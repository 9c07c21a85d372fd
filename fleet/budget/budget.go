// Package budget bounds how many requests of a workspace may be tried again, so that a fault does not multiply load.
package budget

// Retries is the budget of each workspace. It is not safe for concurrent use.
type Retries struct {
	saved map[string]float64
}

const (
	// reserve is what a workspace may spend before it has saved anything, in retries.
	reserve = 10
	// most bounds what a workspace can save, in retries.
	most = 100
)

// NewRetries returns a budget with the reserve for every workspace.
func NewRetries() *Retries {
	return &Retries{saved: make(map[string]float64)}
}

// Deposit saves a request's share.
func (b *Retries) Deposit(workspace string, share float64) {
	b.saved[workspace] = min(most, b.balance(workspace)+share)
}

// Spend takes one retry and reports whether there was one.
func (b *Retries) Spend(workspace string) bool {
	balance := b.balance(workspace)
	if balance < 1 {
		return false
	}
	b.saved[workspace] = balance - 1
	return true
}

func (b *Retries) balance(workspace string) float64 {
	if saved, ok := b.saved[workspace]; ok {
		return saved
	}
	return reserve
}
