package connection

import (
	"context"

	"balsamknot.org/fleet/host"
)

type relaysKey struct{}

// WithRelays returns a context for connections that lead directly, or through a host that may allows.
func WithRelays(ctx context.Context, may func(host.ID) bool) context.Context {
	return context.WithValue(ctx, relaysKey{}, may)
}

// MayRelay reports whether connections that are established or used in ctx may lead through a host. Without WithRelays, all may.
func MayRelay(ctx context.Context, relay host.ID) bool {
	may, restricted := ctx.Value(relaysKey{}).(func(host.ID) bool)
	return !restricted || may(relay)
}
