package answer

import (
	"net/http"
	"slices"
)

// EndMarked reports whether an endpoint's answer itself says where it ends. Otherwise the end of the connection does, which looks the same
// when the endpoint crashes.
func EndMarked(response *http.Response) bool {
	hasNoBody := response.Request != nil && response.Request.Method == http.MethodHead
	return hasNoBody || response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
}
