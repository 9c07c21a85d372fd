package kit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Conn is a caller's kept connection to a host.
type Conn struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to a host.
func Dial(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Call is a request of a caller.
type Call struct {
	ID, Method, Host, Path, Key string
	Deadline                    time.Duration
	Headers                     map[string]string
	Body                        []byte
	// Rate is how many bytes of the body are sent a second; 0 for no limit.
	Rate int
}

// Outcome is how a call ended, as its caller saw it.
type Outcome struct {
	SentAt, EndedAt time.Time
	// Status is 0 if no answer began.
	Status int
	Header http.Header
	// Complete is true if the answer came to its end.
	Complete bool
	// Close is true if the connection can't be used again.
	Close bool
	Body  []byte
	Err   error
}

// encode returns the call without its body.
func (c Call) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Path, c.Host)
	fmt.Fprintf(&b, "%s: %s\r\n", Header("Request"), c.ID)
	fmt.Fprintf(&b, "%s: %d\r\n", Header("Deadline"), c.Deadline.Milliseconds())
	if c.Key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", Header("Key"), c.Key)
	}
	var names []string
	for name := range c.Headers {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", name, c.Headers[name])
	}
	if len(c.Body) > 0 || c.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %s\r\n", strconv.Itoa(len(c.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// rateChunk is how many bytes are sent at a time if a call has a rate.
const rateChunk = 64 << 10

func (c *Conn) send(call Call) error {
	if _, err := c.Write(call.encode()); err != nil {
		return err
	}
	for rest := call.Body; len(rest) > 0; {
		n := len(rest)
		if call.Rate > 0 {
			n = min(n, rateChunk)
		}
		if _, err := c.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		if call.Rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(call.Rate))
		}
	}
	return nil
}

// Do sends a call and reads its answer. onData is called with each part of the body; nil for none.
func (c *Conn) Do(call Call, onData func([]byte)) Outcome {
	o := Outcome{SentAt: time.Now(), Close: true}
	_ = c.SetDeadline(o.SentAt.Add(call.Deadline))
	if err := c.send(call); err != nil {
		o.Err = err
		o.EndedAt = time.Now()
		return o
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
	if err != nil {
		o.Err = err
		o.EndedAt = time.Now()
		return o
	}
	o.Status, o.Header = response.StatusCode, response.Header
	buf := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(buf)
		o.Body = append(o.Body, buf[:n]...)
		if n > 0 && onData != nil {
			onData(buf[:n])
		}
		if errors.Is(err, io.EOF) {
			o.Complete = true
			break
		}
		if err != nil {
			o.Err = err
			break
		}
	}
	o.EndedAt = time.Now()
	o.Close = !o.Complete || response.Close || strings.EqualFold(response.Header.Get("Connection"), "close")
	return o
}

// TimedOut reports whether the caller's own deadline ended the call.
func (o Outcome) TimedOut() bool {
	var netErr net.Error
	return errors.As(o.Err, &netErr) && netErr.Timeout()
}
