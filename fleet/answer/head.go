package answer

import (
	"bufio"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrHead means that the head of an answer can't be trusted, so that nothing is known of what follows it: where the body ends, and whose it is.
var ErrHead = errors.New("the head of the answer can't be trusted")

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// ReadHead reads the head of an answer over HTTP/1, which may be an informational one. The error is ErrHead if it was read and can't be trusted.
func ReadHead(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(r, request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		return nil, err
	}
	return response, nil
}

// CheckHead returns ErrHead unless the head of an answer may be used: net/http accepts a status that is none, another version of HTTP, and a blank in the name of a
// field, which it then does not take for the field that it looks like, such as the length of the body.
func CheckHead(response *http.Response) error {
	switch {
	case response.StatusCode < http.StatusContinue, response.StatusCode > maxStatus:
		return eris.Wrapf(ErrHead, "status %q", response.Status)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return eris.Wrap(ErrHead, "the endpoint changes the protocol, which it was not asked for")
	case response.ProtoMajor != 1 && response.ProtoMajor != 2:
		return eris.Wrapf(ErrHead, "version %q", response.Proto)
	}
	return checkNames(response.Header)
}

// checkNames returns ErrHead if the name of a field is no token.
func checkNames(h map[string][]string) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, notInToken) {
			return eris.Wrapf(ErrHead, "field %q", name)
		}
	}
	return nil
}

// notInToken reports whether a character may not be part of a token (RFC 9110, section 5.6.2).
func notInToken(r rune) bool {
	isLetter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
	isDigit := '0' <= r && r <= '9'
	return !isLetter && !isDigit && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// Transport is an http.RoundTripper that returns only answers whose heads can be trusted, and none after an informational one that can't be.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkNames(h) }}
	response, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Base, for http.Client.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
