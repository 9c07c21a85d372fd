package schedule

import (
	"fmt"
	"slices"
	"time"

	"balsamknot.org/standin/network"
)

// Action is the kind of a fault or of an operator's change. Case files hold its number.
type Action int

// Actions on hosts, on links, on endpoints, on the store, and of the operator.
const (
	// KillHost ends a host's process with SIGKILL and StopHost with SIGTERM; both start it again at the end of the fault.
	// PauseHost suspends it with SIGSTOP. ReloadHost sends SIGHUP, on which it reads its settings again.
	KillHost Action = iota + 1
	StopHost
	PauseHost
	ReloadHost
	// ImpairLink applies Fault.Link to a link until the fault ends. BreakLink resets the open connections of a link.
	// SilenceLink drops all further data on the open connections without closing them.
	ImpairLink
	BreakLink
	SilenceLink
	// CrashEndpoint aborts all requests of an endpoint and restarts it at the end of the fault. LeaveEndpoint registers it as
	// draining until the fault ends; its requests go on.
	CrashEndpoint
	LeaveEndpoint
	// LapseEndpoint removes the registration of a running endpoint. SwapEndpoint connects an endpoint's address to another
	// endpoint.
	LapseEndpoint
	SwapEndpoint
	// SickenEndpoint makes an endpoint misbehave in the way that Fault.Sickness selects.
	SickenEndpoint
	// StopStore makes the platform's store refuse all reads. ForgetHistory drops its change history, so that hosts cannot
	// resume their watches and have to read everything again.
	StopStore
	ForgetHistory
	// MoveRoute publishes a configuration in which a route has another service, and RevokeKey one without the oldest API key.
	MoveRoute
	RevokeKey
	// SendPoison sends a request again and again that crashes each endpoint that executes it. SendPoisonBurst sends many copies at a
	// time, so that they crash all endpoints of a service at one moment.
	SendPoison
	SendPoisonBurst
	// SendPoisonPart sends different requests, one part of whose prompts crashes each engine that begins to answer them.
	SendPoisonPart
	// LimitEndpoint makes an endpoint state in its answers that it takes Fault.PerSecond requests a second.
	LimitEndpoint
	// AskRest makes an endpoint turn all requests away and ask each host for rest until the fault ends. SayLeaving makes it say in its
	// answers that it leaves; it starts anew at the end. MakeBrittle makes the endpoints of a service say that they are brittle, and
	// fall if they have to turn away too many requests. KillAllHosts ends all hosts with SIGKILL and starts them again.
	AskRest
	SayLeaving
	MakeBrittle
	KillAllHosts
	// ReturnStore makes the store refuse all reads until the end of the fault, and return from a copy that lacks its last Fault.Lost changes.
	// They are written again then, slowly if Fault.Slow is set; else as many others as were lost come first.
	ReturnStore
	// EndEndpoint makes an endpoint send streams whose end only the end of the connection marks, and ends it at the end of the fault as the
	// kernel ends a process: its connections end in order. SilenceEndpoints makes all endpoints of a service send nothing until the end of the
	// fault; they go on then. ReplaceEndpoint lets an endpoint leave and at the end of the fault start in place with another software version.
	// LapseService removes the registrations of a service's endpoints while the store refuses all reads, and writes them again just after.
	// DelayCacheLists makes an endpoint answer requests for its cache list Fault.Delay late until the end of the fault.
	EndEndpoint
	SilenceEndpoints
	ReplaceEndpoint
	LapseService
	DelayCacheLists
	// SwitchEngine makes an engine send streams whose end only the end of the connection marks. At the end of the fault its process ends, so that
	// all connections end in order, and another process listens at its address at once, of another software version if Fault.Upgrade is set. It
	// registers Fault.Delay later. SickenEngines makes all engines misbehave in the way that Fault.Sickness selects.
	SwitchEngine
	SickenEngines
	// SurgeLoad adds several times as many callers as there are, which send requests for streams only, until the end of the fault.
	SurgeLoad
	// ReturnCold ends all endpoints of the data centre of an endpoint at one moment, and lets them come back cold and all at once at the end of the
	// fault. TurnCold makes an endpoint cold until the end of the fault while it runs; its registration says so Fault.Delay later.
	ReturnCold
	TurnCold
	// WriteForeignEntry writes an entry of a service that no configuration names, at an endpoint's address, until the end of the fault.
	WriteForeignEntry
)

var actionNames = map[Action]string{
	KillHost: "KillHost", StopHost: "StopHost", PauseHost: "PauseHost", ReloadHost: "ReloadHost", ImpairLink: "ImpairLink",
	BreakLink: "BreakLink", SilenceLink: "SilenceLink", CrashEndpoint: "CrashEndpoint", LeaveEndpoint: "LeaveEndpoint",
	LapseEndpoint: "LapseEndpoint", SwapEndpoint: "SwapEndpoint", SickenEndpoint: "SickenEndpoint", StopStore: "StopStore",
	ForgetHistory: "ForgetHistory", MoveRoute: "MoveRoute", RevokeKey: "RevokeKey", SendPoison: "SendPoison",
	SendPoisonBurst: "SendPoisonBurst", SendPoisonPart: "SendPoisonPart", LimitEndpoint: "LimitEndpoint",
	AskRest: "AskRest", SayLeaving: "SayLeaving", MakeBrittle: "MakeBrittle", KillAllHosts: "KillAllHosts",
	ReturnStore: "ReturnStore", EndEndpoint: "EndEndpoint", SilenceEndpoints: "SilenceEndpoints", ReplaceEndpoint: "ReplaceEndpoint",
	LapseService: "LapseService", DelayCacheLists: "DelayCacheLists", SwitchEngine: "SwitchEngine", SickenEngines: "SickenEngines",
	SurgeLoad: "SurgeLoad", ReturnCold: "ReturnCold", TurnCold: "TurnCold",
	WriteForeignEntry: "WriteForeignEntry",
}

func (a Action) String() string { return actionNames[a] }

// LinkKind distinguishes links by the parties that they connect. Case files hold its number.
type LinkKind int

// Links lead from callers to a host (CallerLink), from a host to the platform's store (StoreLink), from other hosts to a host
// (PeerLink) and from hosts to an endpoint (EndpointLink).
const (
	CallerLink LinkKind = iota + 1
	StoreLink
	PeerLink
	EndpointLink
)

// Misbehaviour is a way in which an endpoint responds incorrectly. Case files hold its number.
type Misbehaviour int

// The ways in which an endpoint can misbehave.
const (
	// RefuseRequest responds that the request was not executed. FailRequest executes the request and responds with status 500.
	RefuseRequest Misbehaviour = iota + 1
	FailRequest
	// AbortBeforeResponse closes the connection before the response, and TruncateResponse in the middle of it.
	AbortBeforeResponse
	TruncateResponse
	// NeverRespond executes the request without sending a response. MismatchRequestID responds with the id of another request.
	NeverRespond
	MismatchRequestID
	// EndlessHead and EndlessBody respond with bytes without end, in the status line or in the body.
	EndlessHead
	EndlessBody
	// UnframedStream sends streams correctly, but only the end of the connection ends them. EndInsideEvent ends a stream, properly
	// framed, inside an event.
	UnframedStream
	EndInsideEvent
	// The following break new streams off. Where an engine is asked to go on with one, each second time on average it does not do so after the
	// position that it was asked for: CommentEvent and EmptyEventID send an event without an ID, a comment or one with an empty ID, and break
	// off; RepeatStream begins with the first event, RepeatEvent with the last one before the position, and SkipEvent leaves one out.
	CommentEvent
	EmptyEventID
	RepeatStream
	RepeatEvent
	SkipEvent
	// lastMisbehaviour is the last one of SickenEndpoint.
	lastMisbehaviour = EndInsideEvent
)

// misplacements are the misbehaviours of SickenEngines.
var misplacements = []Misbehaviour{CommentEvent, EmptyEventID, RepeatStream, RepeatEvent, SkipEvent}

// Misplaces reports whether an endpoint with a misbehaviour goes on with streams elsewhere than it was asked to.
func (m Misbehaviour) Misplaces() bool { return slices.Contains(misplacements, m) }

// Fault is one scheduled fault. Its fields are written to case files under their own names. An action ignores the fields that
// it does not need.
type Fault struct {
	// At is the start of the fault, from the start of the run, and For its duration.
	At, For time.Duration
	Action  Action
	// Host and Endpoint are numbers from 0. If Peer is not -1, ImpairLink on a PeerLink affects only the datagrams that host
	// Peer sends. If Link.Cut is set, the start of the fault also resets the open TCP connections of the link, from any host.
	Host, Peer, Endpoint int
	// Place is the kind of the link that ImpairLink, BreakLink or SilenceLink affects, and Link the impairment by ImpairLink.
	// Sickness is how SickenEndpoint makes the endpoint misbehave.
	Place    LinkKind
	Link     network.Fault
	Sickness Misbehaviour
	// PerSecond is the limit that LimitEndpoint makes an endpoint state.
	PerSecond float64
	// Lost and Slow are for ReturnStore.
	Lost int
	Slow bool
	// Delay is for DelayCacheLists, SwitchEngine and TurnCold, and Upgrade for SwitchEngine.
	Delay   time.Duration
	Upgrade bool
}

func (f Fault) String() string {
	return fmt.Sprintf("at %s for %s: %s host %d peer %d endpoint %d place %d link %+v sickness %d",
		f.At, f.For, f.Action, f.Host, f.Peer, f.Endpoint, f.Place, f.Link, f.Sickness)
}
