// Package platform is a read-only HTTP client for the platform's document service, which publishes the configuration of the
// fleet: the object set and the lists of hosts and endpoints.
package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/revision"
)

// RevisionHeader is the response header with the version number of the document.
const RevisionHeader = "Document-Revision"

// DocumentPath is the URL path of the documents; a document's name follows it. A watch adds the query parameters after and
// wait.
const DocumentPath = "/v1/documents/"

// maxDocumentBytes is the maximum size of a document: the platform stores values of up to 1 MiB.
const maxDocumentBytes = 1 << 20

// Client reads documents from the platform. It does not retry, and it sets no time-out besides that of its context and of
// the HTTP client.
type Client struct {
	// Address is the ip:port of the platform's document service.
	Address string
	HTTP    *http.Client
}

// Read returns the version of a document that the platform serves now; found is false if the document does not exist.
func (c *Client) Read(ctx context.Context, name revision.DocumentName) (doc revision.Document, found bool, err error) {
	return c.get(ctx, name, nil)
}

// Watch long-polls the platform until it has a version newer than after. found is false if the time wait passed without
// one, or if the document does not exist.
func (c *Client) Watch(ctx context.Context, name revision.DocumentName, after revision.Number, wait time.Duration) (revision.Document, bool, error) {
	return c.get(ctx, name, url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {wait.String()},
	})
}

func (c *Client) get(ctx context.Context, name revision.DocumentName, query url.Values) (revision.Document, bool, error) {
	target := url.URL{Scheme: "http", Host: c.Address, Path: DocumentPath + string(name), RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return revision.Document{}, false, eris.Wrapf(err, "create request for platform %s", c.Address)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return revision.Document{}, false, eris.Wrapf(err, "request document from platform %s", c.Address)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusNotModified:
		return revision.Document{}, false, nil
	default:
		return revision.Document{}, false, fmt.Errorf("platform %s answered with status %s", c.Address, response.Status)
	}
	return decodeDocument(response, name, c.Address)
}

// decodeDocument reads the version number from the header of a successful response and the value from its body.
func decodeDocument(response *http.Response, name revision.DocumentName, address string) (revision.Document, bool, error) {
	number, err := strconv.ParseUint(response.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return revision.Document{}, false, eris.Wrapf(err, "platform %s: parse response header %s", address, RevisionHeader)
	}
	if !answer.EndMarked(response) {
		return revision.Document{}, false, fmt.Errorf("platform %s: the end of document %s is not marked", address, name)
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, maxDocumentBytes+1))
	if err != nil {
		return revision.Document{}, false, eris.Wrapf(err, "read document body from platform %s", address)
	}
	if len(value) > maxDocumentBytes {
		return revision.Document{}, false, fmt.Errorf("platform %s: document %s is larger than 1 MiB", address, name)
	}
	return revision.Document{Name: name, Number: revision.Number(number), Value: value}, true, nil
}
