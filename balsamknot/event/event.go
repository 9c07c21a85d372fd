// Package event defines the numbered events that a node logs. docs/EVENTS.md explains each to operators and is generated
// from the catalogue here.
package event

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"
)

// Number identifies an event in the logs of all versions: the number of a removed event must not be reused.
type Number int

// String returns the form used in logs and in docs/EVENTS.md, such as BK1001.
func (n Number) String() string { return fmt.Sprintf("BK%04d", int(n)) }

// The events of a node, by topic: 10xx process, 11xx hosts and peers, 12xx documents and platform, 13xx endpoints, 14xx
// requests, 15xx claims of idempotency keys, 16xx requests that crash endpoints, 19xx defects and log limits, 20xx
// registrations and endpoint caches, 21xx messages between hosts, 22xx paths to endpoints.
const (
	NodeStarted            Number = 1001
	NodeReady              Number = 1002
	NodeDraining           Number = 1003
	NodeStopped            Number = 1004
	NodePaused             Number = 1005
	SettingsReloaded       Number = 1006
	SettingsRefused        Number = 1007
	StopStepEnded          Number = 1008
	HostChanged            Number = 1101
	PeerRejected           Number = 1102
	DocumentAccepted       Number = 1201
	DocumentRefused        Number = 1202
	PlatformUnreachable    Number = 1203
	PlatformReachable      Number = 1204
	StoreReturned          Number = 1205
	EarlierEraDropped      Number = 1206
	EvacuationBegan        Number = 1207
	EvacuationEnded        Number = 1208
	EvacuationEmpty        Number = 1209
	HomesUnknown           Number = 1210
	OutageEnded            Number = 1211
	RemovalsDeferred       Number = 1212
	KeeperAssigned         Number = 1301
	KeeperWithdrawn        Number = 1302
	EndpointLost           Number = 1303
	EndpointLeaving        Number = 1304
	RequestDone            Number = 1401
	RequestRefused         Number = 1402
	RequestResumed         Number = 1403
	RequestRetried         Number = 1404
	RequestPlaced          Number = 1405
	CallerDisconnected     Number = 1406
	AnswerAborted          Number = 1407
	EndChecked             Number = 1408
	StreamWentOn           Number = 1409
	ProcessNotRegistered   Number = 1410
	ReportMissing          Number = 1411
	OriginConflict         Number = 1412
	OriginInferred         Number = 1413
	OriginLookedUp         Number = 1414
	PastRead               Number = 1415
	PastUnknown            Number = 1416
	AnswerUnsigned         Number = 1417
	ClaimWon               Number = 1501
	ClaimDeferred          Number = 1502
	ClaimUnsettled         Number = 1503
	ClaimVoided            Number = 1504
	RequestSuspected       Number = 1601
	RequestBlocked         Number = 1602
	RunInterrupted         Number = 1603
	InterruptionDropped    Number = 1604
	CrashesCleared         Number = 1605
	RequestLimited         Number = 1606
	CrashesSummarised      Number = 1607
	HandlerPanicked        Number = 1901
	LogLinesDropped        Number = 1902
	RegistrationUnreadable Number = 2001
	EndpointRegistered     Number = 2002
	EndpointRemoved        Number = 2003
	CacheListed            Number = 2004
	EndpointLimited        Number = 2005
	EndpointLimitEnded     Number = 2006
	EndpointAskedRest      Number = 2007
	EndpointSaidLeaving    Number = 2008
	EndpointBrittle        Number = 2009
	EndpointCold           Number = 2012
	EndpointWarm           Number = 2013
	OverloadBegan          Number = 2014
	OverloadEnded          Number = 2015
	DatagramUnreadable     Number = 2101
	DatagramSendFailed     Number = 2102
	KeeperUnresponsive     Number = 2103
	PathLost               Number = 2201
	PathRestored           Number = 2202
	RelayUnavailable       Number = 2203
	DeliveryUnknown        Number = 2204
)

// Entry is the catalogue's description of an event for operators.
type Entry struct {
	Number  Number
	Text    string
	Meaning string
	Action  string
}

// Catalogue describes all events, in ascending order of their numbers. Operators may match log lines by Text, so neither
// numbers nor texts may change.
var Catalogue = []Entry{
	{NodeStarted, "node started", "The process listens; it is not ready yet.", "None."},
	{NodeReady, "node ready", "The node has a set in force and knows its peers.", "None."},
	{NodeDraining, "node draining", "A planned stop began: no new work, what runs finishes.", "Wait for BK1004."},
	{NodeStopped, "node stopped", "Nothing was in flight when the process ended, unless InFlight says so.", "With InFlight above 0, raise DrainLimit."},
	{NodePaused, "node was paused", "The process did not run for the time given; its view is refreshed before it acts.", "Look for overcommitted hosts if it returns."},
	{SettingsReloaded, "settings taken", "The settings file was read again; Changed names what differs. Addresses and names hold until the next start.", "None."},
	{SettingsRefused, "settings refused", "The settings file can't be read or has faults; those in force stay.", "Mend the file; entry --check lists all faults."},
	{StopStepEnded, "stop step ended", "A part of a planned stop has ended, or, with Completed false, was no longer waited for after TookMs; the stop goes on with the next one.", "With Completed false for a Step other than drain: report it as a defect if the host was not short of processor time."},
	{HostChanged, "host changed state", "This node's view of a host moved.", "Suspect for long: check the host."},
	{PeerRejected, "peer rejected", "A caller of the peer listener did not prove that it is a node of the fleet.", "Check FleetKey and who reaches the peer network."},
	{DocumentAccepted, "document in force", "A higher revision of a document is in force on this node.", "None."},
	{DocumentRefused, "document refused", "A published document failed its check and changed nothing.", "Run balsamknot check and publish a corrected set."},
	{PlatformUnreachable, "platform unreachable", "Reading the platform failed; the last documents stay in force.", "Check the platform; the fleet goes on."},
	{PlatformReachable, "platform back", "Reading the platform works again.", "None."},
	{StoreReturned, "store returned from an older copy", "The platform's store has lost its last changes; Lost tells up to which revision this host had read it, Missing how many endpoints are kept until they register again, Held how many that had been removed get no requests for now.", "Check that the newest set is published again."},
	{EarlierEraDropped, "read of an earlier era dropped", "What the store or another host sent is from before the store returned from an older copy.", "If it repeats: the store's copies answer side by side, or the era went back; restart hosts only in the latter case."},
	{EvacuationBegan, "evacuation began", "The operator evacuates DataCentre: its endpoints, whose number is given, get no new requests from this host, and finish what runs there.", "See docs/operators/evacuation.md."},
	{EvacuationEnded, "evacuation ended", "The operator has ended the evacuation of DataCentre: its endpoints get requests again.", "None."},
	{EvacuationEmpty, "evacuated data centre has no endpoints", "No endpoint is registered in the DataCentre that the operator evacuates.", "Check the name; remove the key if it is wrong."},
	{HomesUnknown, "home regions are not known", "The set lists as homes of the Routes and Workspaces counted, of which the first are named, only regions without a known data centre: their requests are refused.", "See docs/operators/home-regions.md."},
	{OutageEnded, "outage of the store ended", "No read confirmed this host's copy for GapMs, until Source did. Evidence tells why that counts as an outage: own, reads of this host failed meanwhile; stated, Source knows of it. Registrations that are missing now are kept for GraceMs more.", "Look for BK1203 before it, here and on other hosts."},
	{RemovalsDeferred, "removals deferred", "Endpoints are no longer registered, and are kept for GraceMs more since the store was away: their registrations may have expired in that time. The first ones are named.", "None; BK2003 with Deferred follows for those that do not return."},
	{KeeperAssigned, "endpoint kept", "This node became the keeper of an endpoint.", "None."},
	{KeeperWithdrawn, "endpoint handed over", "Another node became the keeper of an endpoint.", "None."},
	{EndpointLost, "endpoint lost", "An endpoint broke off or can't be reached.", "Check the endpoint."},
	{EndpointLeaving, "endpoint leaving", "An endpoint takes no new work and finishes what it has.", "None."},
	{RequestDone, "request done", "A caller got its whole answer.", "None."},
	{RequestRefused, "request refused", "A caller got a refusal; see docs/operators/refusals.md.", "By its code."},
	{RequestResumed, "request resumed", "An answer went on after its connection or keeper was lost.", "None, unless frequent."},
	{RequestRetried, "request retried", "An idempotent request went to another endpoint.", "None, unless frequent."},
	{RequestPlaced, "request placed", "A keeper chose the endpoint: Running of Limit were there, Missing tokens of shared parts have to be read; BeliefMs is how old the set is by which it was let in.", "None."},
	{CallerDisconnected, "caller left", "The caller closed its connection before its answer was whole; the endpoint was told to stop.", "None, unless frequent."},
	{AnswerAborted, "answer cut", "An answer that had begun can't go on: the caller's connection was closed so that it does not look whole.", "By its Cause."},
	{EndChecked, "end of an answer checked", "Only the end of its connection ended an answer. Open and Ended count the endpoint's other connections just after it, NewOpen says whether a new connection stayed, Guard what became of the connection that was opened while the answer came (alive: it answered since; open or silent: it did not), and Verdict says what the answer was taken for.", "If broken off: look for the end of the endpoint's process."},
	{StreamWentOn, "stream went on", "An endpoint sent the first event of a stream that goes on after Position: the event's ID is First. ConnectedMs is the age of the connection and BeliefMs that of the host's copy of the store: if the connection is younger, the copy may not know its process.", "None. If First does not follow Position: look at the endpoint."},
	{ProcessNotRegistered, "another process answered", "A request that goes on with a stream was not sent to an endpoint: the process at its address is not the one that is registered, which began at StartedAt. The request goes to another endpoint.", "None, unless it lasts for more than some seconds: look why the endpoint's registration does not change."},
	{ReportMissing, "process not known", "An engine was asked which process it is, for a stream that goes on there, and did not tell: absent, its answer has no start; lost, no answer came in time. The stream goes on there.", "If lost and frequent: look at the engine."},
	{OriginConflict, "two origins of a stream", "This host knows the software version that began a stream (Known), and another one was stated later (Rejected), by itself or by another host; the first is kept.", "Look for an endpoint that was replaced in place at about that time."},
	{OriginInferred, "origin of a stream inferred", "A caller takes up a stream whose origin no host remembers. Evidence says what its software version (Version) was taken from: only version, the caches of the engines, or nothing, in which case it was refused.", "If nothing lasts for longer than half a minute after a start of all hosts: look at BK1414 of the same Stream."},
	{OriginLookedUp, "origin looked up in caches", "This host was asked which versions can have begun a stream, by the engines that cache the last part of its prompt (Part): Found have it, Possible may have it only for requests that came since this host started. Left are versions of engines that left before this host knew what they cached, Order has the versions from the earliest on, and Standing is that of the stream among those of its session (0 untold, 1 undecided, 2 alone, 3 oldest, 4 newest, 5 between). Versions is the answer.", "None."},
	{PastRead, "past read", "This host has read from the store's history which engines registered and left before it had its first copy of the store: Departed of Versions had left.", "None."},
	{PastUnknown, "past not known", "The store's history does not tell this host which engines left before it had its first copy of the store. A stream that one of them began may go on at the version of another stream of its session.", "None, unless frequent: look at how long the store keeps its history."},
	{AnswerUnsigned, "answer without a signature", "An endpoint's success had no signature, so that some of its bytes are wrong. It was given up: the request goes to another endpoint, or fails with 502 if it may run once only.", "If frequent at one Endpoint: look at its machine."},
	{ClaimWon, "claim won", "A quorum of electors vouches for this home.", "None."},
	{ClaimDeferred, "claim deferred", "Another home holds the key; it was asked for the answer.", "None."},
	{ClaimUnsettled, "claim unsettled", "Too few electors vouched; nothing was sent. The caller was told Unknown.", "Check the hosts if it lasts longer than ElectorGrace."},
	{ClaimVoided, "claim voided", "The key was refused as not run and can never run.", "None."},
	{RequestSuspected, "request suspected", "An endpoint was lost while it ran this fingerprint, or a request with this part of a prompt (Part); with Unconfirmed it only fell silent.", "None yet."},
	{RequestBlocked, "request condemned", "The fingerprint cost two endpoints, or three if it never ran alone, and is refused everywhere; a part of a prompt (Part) cost five, and requests with it are refused. Crashes, FailedTrials and NextTrialMs say what the block of an entry host rests on and when a request is let through next.", "Find the caller by workspace and fingerprint."},
	{RunInterrupted, "run interrupted", "An endpoint's answer to this fingerprint is missing or incomplete; the endpoint may have crashed.", "None."},
	{InterruptionDropped, "interruption dropped", "No crash of the endpoint was recorded for an interrupted run; Reason says why.", "None."},
	{CrashesCleared, "crashes cleared", "The request ran to its end, so that the crashes recorded for its fingerprint, or for this part of its prompt, no longer count.", "None."},
	{RequestLimited, "crashes at one moment", "The fingerprint has enough crashes to be blocked, but they came at one moment, or some are unconfirmed or old: the request may have caused them, or ran by chance where several endpoints failed together. Its copies run one after another until one gets its whole answer or crashes an endpoint.", "None yet."},
	{CrashesSummarised, "further crashes", "More requests (Requests) and parts of prompts (Parts) were recorded as suspected for the end of this endpoint than get a line of their own (BK1601) in a second. All of them count.", "None; BK1603 names the requests that ran there."},
	{HandlerPanicked, "handler recovered", "A request handler panicked; the process goes on.", "Report the stack as a defect."},
	{LogLinesDropped, "log lines dropped", "More lines than the log's budget, or a reader that does not read; counted by event.", "Read the log faster, or look at the counters."},
	{RegistrationUnreadable, "registration unreadable", "A registration in the platform's store can't be read and names no endpoint, or a set can't be used; the set before it stays in force.", "Find who wrote it."},
	{EndpointRegistered, "endpoint registered", "An endpoint registered itself, or changed what it says of itself.", "None."},
	{EndpointRemoved, "endpoint gone", "An endpoint is no longer registered, or, with Deferred, did not come back after an outage of the store.", "None, unless it should be there."},
	{CacheListed, "cache listed", "A keeper asked an engine what its cache holds; with an error, that remains unknown, and the engine is asked again while a stream that is taken up needs it.", "With errors from one engine for long: look at that engine."},
	{EndpointLimited, "endpoint limited", "An endpoint's answer states how many requests a second (PerSecond) it takes from all hosts together, or another number than before; Unreadable if it is no number. Requests beyond it go to other endpoints or are refused.", "Find out what the endpoint lacks."},
	{EndpointLimitEnded, "endpoint limit ended", "An endpoint's answer no longer states a limit; its requests increase over 6 s.", "None."},
	{EndpointAskedRest, "endpoint asked for rest", "An endpoint turned a request away and wants no others from this host for RestMs; with a Relay, from the host through which the request went.", "None, unless it lasts: see what the endpoint lacks."},
	{EndpointSaidLeaving, "endpoint says it leaves", "An endpoint says in its answers that it leaves; it gets no more requests, whatever its registration says.", "None."},
	{EndpointBrittle, "endpoint brittle", "An endpoint says in its answers that it falls when it turns more than TurnedAway requests away in a second, or, with Brittle false, no longer says so. It gets fewer requests at a time meanwhile.", "Find out what the endpoint lacks."},
	{EndpointCold, "endpoint cold", "An endpoint started or became cold, for LeftMs more as far as its registration says. The keeper paces its requests until then, by the cold rate of the set. Only the keeper logs it.", "None; many at once: see docs/operators/cold-endpoints.md."},
	{EndpointWarm, "endpoint warm", "The cold time of an endpoint has ended; its requests increase over some seconds.", "None."},
	{OverloadBegan, "overload began", "More is asked of Service than it has Slots for; Waiting requests wait, and others are refused at once. Only the keeper logs it.", "See docs/operators/too-little-room.md."},
	{OverloadEnded, "overload ended", "Service has had room for all requests for a second. Only the keeper logs it.", "None."},
	{DatagramUnreadable, "datagram unreadable", "A datagram on the hosts' own port can't be read.", "See who sends it; versions may differ."},
	{DatagramSendFailed, "datagram not sent", "A datagram to another host could not be sent.", "None, unless it lasts."},
	{KeeperUnresponsive, "keeper silent", "The host that keeps a service did not answer; the request's own host decided.", "Check that host if it lasts."},
	{PathLost, "path lost", "This host can't connect to an endpoint, but another host can; requests go through others until it can again. Silent if connections hang; Doubted if only others of the service were tried.", "See what cuts the host off from the endpoint."},
	{PathRestored, "path restored", "This host connects to the endpoint directly again.", "None."},
	{RelayUnavailable, "relay unavailable", "A host that was asked to connect this one to an endpoint could not be reached, or can't connect itself.", "None, unless no host can."},
	{DeliveryUnknown, "delivery unknown", "The system does not tell this host whether data on its connections to endpoints was acknowledged. Logged once. Paths are then checked after a longer silence.", "None."},
}

var texts = func() map[Number]string {
	m := make(map[Number]string, len(Catalogue))
	for _, entry := range Catalogue {
		m[entry.Number] = entry.Text
	}
	return m
}()

// Log starts a log line with the event's number but without a message. The caller adds fields and calls Msg(Text(n)).
func Log(log zerolog.Logger, level zerolog.Level, n Number) *zerolog.Event {
	return log.WithLevel(level).Str("Event", n.String())
}

// LogText starts a log line with the event's number, and its text as the message. The caller adds fields and calls Send.
func LogText(log zerolog.Logger, level zerolog.Level, n Number) *zerolog.Event {
	return log.WithLevel(level).Str("Event", n.String()).Str(zerolog.MessageFieldName, Text(n))
}

// Text returns the event's text from the catalogue; empty for a number that the catalogue lacks.
func Text(n Number) string { return texts[n] }

// Markdown returns the content of docs/EVENTS.md. A test compares it with the file.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated from `balsamknot/event`; CI checks that the two agree.\n\n")
	b.WriteString("| Event | Text | Meaning | What an operator does |\n| --- | --- | --- | --- |\n")
	for _, e := range Catalogue {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", e.Number, e.Text, e.Meaning, e.Action)
	}
	return b.String()
}
