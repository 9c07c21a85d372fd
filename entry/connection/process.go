package connection

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/platform"
)

// Process is the process to which a request is bound. The zero value binds it to none.
type Process struct {
	// Instance is the endpoint's registration. One without a start time binds to none.
	Instance endpoint.Instance
	// KnownBefore is the time before which a connection must have been established to lead to a registered process without a question.
	KnownBefore time.Time
	// IfEnded restricts the question to endpoints that have ended connections since KnownBefore, as they do when their process ends.
	IfEnded bool
}

// ErrOtherProcess means that another process listens at the endpoint's address than the registered one. The request was not sent.
var ErrOtherProcess = errors.New("the process at the address is not the registered one")

const (
	// reportTimeout limits the time for which a request waits for reports of the process that it is bound to.
	reportTimeout = 300 * time.Millisecond
	// maxReports limits how many connections are asked for one request.
	maxReports = 3
	// maxReportBytes limits the status line, the headers and the body of a report.
	maxReportBytes = 64 << 10
)

// ReportResult is what was learnt from asking for a report over one connection.
type ReportResult string

// Values of ReportResult.
const (
	// ReportConfirms means that the process is the registered one.
	ReportConfirms ReportResult = "confirms"
	// ReportContradicts means that it is another one.
	ReportContradicts ReportResult = "contradicts"
	// ReportAbsent means that the endpoint answered without a start time.
	ReportAbsent ReportResult = "absent"
	// ReportLost means that no complete answer came in time.
	ReportLost ReportResult = "lost"
)

// ReportResults lists the values of ReportResult.
var ReportResults = []ReportResult{ReportConfirms, ReportContradicts, ReportAbsent, ReportLost}

// getFor returns a connection over which a request that is bound to a process may be sent. Where reports tell nothing of the process, any
// connection will do. The error is ErrNotSent, and also ErrOtherProcess if another process listens at the address.
func (p *Pool) getFor(ctx context.Context, address string, process Process) (*pooledConn, error) {
	if process.Instance.StartedAt == 0 {
		return p.get(ctx, address)
	}
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for reports := 0; ; reports++ {
		c, err := p.get(ctx, address)
		if err != nil {
			return nil, err
		}
		usable := true
		if p.needsReport(c, process) && reports < maxReports && reportCtx.Err() == nil {
			usable = p.askForReport(reportCtx, c, process.Instance)
		}
		if c.contradicts(process.Instance) {
			_ = c.Close()
			p.distrust(address)
			p.noteEnded(address)
			return nil, eris.Wrapf(errors.Join(ErrNotSent, ErrOtherProcess), "check the process of endpoint %s at %s", process.Instance.ID, address)
		}
		if usable {
			return c, nil
		}
		_ = c.Close()
	}
}

// needsReport reports whether it is to be asked which process the connection leads to.
func (p *Pool) needsReport(c *pooledConn, process Process) bool {
	if c.asked || c.connectedAt.Before(process.KnownBefore) {
		return false
	}
	return !process.IfEnded || p.EndedSince(c.address, process.KnownBefore)
}

// contradicts reports whether the connection is known to lead to another process than that of an instance.
func (c *pooledConn) contradicts(instance endpoint.Instance) bool {
	return c.misdirected || (c.startedAt != 0 && instance.StartedAt != 0 && c.startedAt != instance.StartedAt)
}

// askForReport asks for the report of the process that a connection leads to and notes what it says. It returns false if the connection can't
// be used any more.
func (p *Pool) askForReport(ctx context.Context, c *pooledConn, instance endpoint.Instance) (usable bool) {
	c.asked = true
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	r, err := c.readReport(instance.ID)
	if !stop() {
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		p.reportRead(c, ReportLost, err)
		return false
	}
	c.startedAt, err = platform.DecodeReport(r.status, r.body)
	c.misdirected = errors.Is(err, platform.ErrMisdirected)
	switch {
	case c.contradicts(instance):
		p.reportRead(c, ReportContradicts, err)
	case err != nil:
		p.reportRead(c, ReportAbsent, err)
	default:
		p.reportRead(c, ReportConfirms, nil)
	}
	return !r.last
}

// report is the answer to a call for a report.
type report struct {
	status int
	body   []byte
	// last is true if the answer ends the connection.
	last bool
}

// errStray means that an answer to another request came in place of the report.
var errStray = errors.New("the answer belongs to another request")

// callForReport sends the call for the report of an endpoint.
func (c *pooledConn) callForReport(id endpoint.ID) error {
	target, header := platform.ReportCall(id)
	call := Request{Method: http.MethodGet, Target: target, Host: c.address, Header: header}
	_, err := c.Write(call.encodeHead())
	return err
}

// readReport sends the call for the report of an endpoint and reads the answer.
func (c *pooledConn) readReport(id endpoint.ID) (report, error) {
	if err := c.callForReport(id); err != nil {
		return report{}, eris.Wrapf(err, "ask endpoint %s at %s for its report", id, c.address)
	}
	c.limited.left = maxReportBytes
	defer func() { c.limited.left = unlimited }()
	response, err := answer.ReadHead(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return report{}, eris.Wrapf(err, "read the report of endpoint %s at %s", id, c.address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return report{}, eris.Wrapf(err, "read the report of endpoint %s at %s", id, c.address)
	}
	if platform.ReadAnswer(response.StatusCode, response.Header).ID != "" {
		return report{}, eris.Wrapf(errStray, "read the report of endpoint %s at %s", id, c.address)
	}
	return report{status: response.StatusCode, body: body, last: response.Close}, nil
}

// reportRead passes on what was learnt from a report.
func (p *Pool) reportRead(c *pooledConn, result ReportResult, err error) {
	if p.cfg.OnReport != nil {
		p.cfg.OnReport(c.address, result, err)
	}
}

// noteProcess notes the start time of the process that is registered at an address. A later one means that another process took the place of the
// one before, which may go on with its connections: these are not used again, and a sentinel of that process does not guard answers of the next.
func (p *Pool) noteProcess(address string, startedAt int64) {
	if startedAt == 0 {
		return
	}
	p.mu.Lock()
	before, known := p.startedAt[address]
	isNext := known && startedAt > before
	if !known || isNext {
		p.startedAt[address] = startedAt
	}
	if isNext {
		p.retireSentinel(address)
	}
	p.mu.Unlock()
	if isNext {
		p.distrust(address)
	}
}

// forgetProcesses forgets the start times for addresses to which there are no connections. p.mu must be held.
func (p *Pool) forgetProcesses() {
	maps.DeleteFunc(p.startedAt, func(address string, _ int64) bool {
		return len(p.idle[address]) == 0 && len(p.inUse[address]) == 0 && p.sentinels[address] == nil
	})
}

// distrust closes the idle connections to an address at which another process was found, and those in use when their exchanges have ended.
func (p *Pool) distrust(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Conn.Close()
	}
	delete(p.idle, address)
	for c := range p.inUse[address] {
		c.single.Store(true)
	}
}
