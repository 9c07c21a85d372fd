package gauge

import (
	"context"
	"io"
)

// cancelBody is a response body that cancels the context of its request when it is closed, which frees the timer of the
// context's timeout.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context of the request. It returns the error of closing the body.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
