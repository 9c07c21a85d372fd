// Package platform reads the platform's service of documents. Nothing can be written to it.
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

	"balsamknot.org/fleet/revision"
)

// RevisionHeader carries a document's number in an answer of the platform.
const RevisionHeader = "Document-Revision"

// DocumentPath is the path of a document; a watch adds the query parameters after and wait.
const DocumentPath = "/v1/documents/"

// maxValue bounds a document in bytes: the platform holds values of up to a megabyte.
const maxValue = 1 << 20

// Client reads documents over HTTP.
type Client struct {
	// Address is the platform's ip:port.
	Address string
	HTTP    *http.Client
}

// Read returns the current version of a document, or found false where there is none.
func (c *Client) Read(ctx context.Context, name revision.Name) (doc revision.Document, found bool, err error) {
	return c.get(ctx, name, nil)
}

// Watch waits until a document is above after, and returns found false when the wait passed without a change.
func (c *Client) Watch(ctx context.Context, name revision.Name, after revision.Number, wait time.Duration) (revision.Document, bool, error) {
	return c.get(ctx, name, url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {wait.String()},
	})
}

func (c *Client) get(ctx context.Context, name revision.Name, query url.Values) (revision.Document, bool, error) {
	target := url.URL{Scheme: "http", Host: c.Address, Path: DocumentPath + string(name), RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return revision.Document{}, false, eris.Wrapf(err, "platform read: peer %s", c.Address)
	}
	response, err := c.HTTP.Do(r)
	if err != nil {
		return revision.Document{}, false, eris.Wrapf(err, "platform read: peer %s", c.Address)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusNotModified:
		return revision.Document{}, false, nil
	default:
		return revision.Document{}, false, fmt.Errorf("platform read: peer %s: status %s", c.Address, response.Status)
	}
	return decode(response, name, c.Address)
}

func decode(response *http.Response, name revision.Name, peer string) (revision.Document, bool, error) {
	number, err := strconv.ParseUint(response.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return revision.Document{}, false, eris.Wrapf(err, "platform read: peer %s: header %s", peer, RevisionHeader)
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, maxValue+1))
	if err != nil {
		return revision.Document{}, false, eris.Wrapf(err, "platform read: peer %s", peer)
	}
	if len(value) > maxValue {
		return revision.Document{}, false, fmt.Errorf("platform read: peer %s: document %s is over a megabyte", peer, name)
	}
	return revision.Document{Name: name, Number: revision.Number(number), Value: value}, true, nil
}
