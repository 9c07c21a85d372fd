package gauge

import (
	"context"
	"io"
)

// cancelBody ends a request's context with its body.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
