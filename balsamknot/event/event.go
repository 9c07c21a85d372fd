// Package event numbers what a node logs, so that operators can look each event up in docs/EVENTS.md.
package event

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"
)

// Number names an event for good; numbers are never used again for another event.
type Number int

// String returns the number as it stands in logs.
func (n Number) String() string { return fmt.Sprintf("BK%04d", int(n)) }

// Events of a node.
const (
	NodeStarted        Number = 1001
	NodeReady          Number = 1002
	NodeDraining       Number = 1003
	NodeStopped        Number = 1004
	NodePaused         Number = 1005
	SettingsTaken      Number = 1006
	SettingsRefused    Number = 1007
	HostChanged        Number = 1101
	PeerRejected       Number = 1102
	DocumentAccepted   Number = 1201
	DocumentRefused    Number = 1202
	PlatformLost       Number = 1203
	PlatformBack       Number = 1204
	KeeperAssigned     Number = 1301
	KeeperWithdrawn    Number = 1302
	EndpointLost       Number = 1303
	EndpointLeaving    Number = 1304
	RequestDone        Number = 1401
	RequestRefused     Number = 1402
	RequestResumed     Number = 1403
	RequestRetried     Number = 1404
	RequestPlaced      Number = 1405
	RequestLeft        Number = 1406
	RequestCut         Number = 1407
	ClaimWon           Number = 1501
	ClaimDeferred      Number = 1502
	ClaimUnsettled     Number = 1503
	ClaimVoided        Number = 1504
	RequestSuspected   Number = 1601
	RequestCondemned   Number = 1602
	HandlerRecovered   Number = 1901
	LinesDropped       Number = 1902
	EntryUnreadable    Number = 2001
	EndpointSeen       Number = 2002
	EndpointGone       Number = 2003
	CacheListed        Number = 2004
	DatagramUnreadable Number = 2101
	DatagramUnsent     Number = 2102
	KeeperSilent       Number = 2103
)

// Entry explains an event to an operator.
type Entry struct {
	Number  Number
	Text    string
	Meaning string
	Action  string
}

// Catalogue holds every event in order of number.
var Catalogue = []Entry{
	{NodeStarted, "node started", "The process listens; it is not ready yet.", "None."},
	{NodeReady, "node ready", "The node has a set in force and knows its peers.", "None."},
	{NodeDraining, "node draining", "A planned stop began: no new work, what runs finishes.", "Wait for BK1004."},
	{NodeStopped, "node stopped", "Nothing was in flight when the process ended, unless InFlight says so.", "With InFlight above 0, raise DrainLimit."},
	{NodePaused, "node was paused", "The process did not run for the time given; its view is refreshed before it acts.", "Look for overcommitted hosts if it returns."},
	{SettingsTaken, "settings taken", "The settings file was read again; Changed names what differs. Addresses and names hold until the next start.", "None."},
	{SettingsRefused, "settings refused", "The settings file can't be read or has faults; those in force stay.", "Mend the file; entry --check lists all faults."},
	{HostChanged, "host changed state", "This node's view of a host moved.", "Suspect for long: check the host."},
	{PeerRejected, "peer rejected", "A caller of the peer listener did not prove that it is a node of the fleet.", "Check FleetKey and who reaches the peer network."},
	{DocumentAccepted, "document in force", "A higher revision of a document is in force on this node.", "None."},
	{DocumentRefused, "document refused", "A published document failed its check and changed nothing.", "Run balsamknot check and publish a corrected set."},
	{PlatformLost, "platform unreachable", "Reading the platform failed; the last documents stay in force.", "Check the platform; the fleet goes on."},
	{PlatformBack, "platform back", "Reading the platform works again.", "None."},
	{KeeperAssigned, "endpoint kept", "This node became the keeper of an endpoint.", "None."},
	{KeeperWithdrawn, "endpoint handed over", "Another node became the keeper of an endpoint.", "None."},
	{EndpointLost, "endpoint lost", "An endpoint broke off or can't be reached.", "Check the endpoint."},
	{EndpointLeaving, "endpoint leaving", "An endpoint takes no new work and finishes what it has.", "None."},
	{RequestDone, "request done", "A caller got its whole answer.", "None."},
	{RequestRefused, "request refused", "A caller got a refusal; see docs/operators/refusals.md.", "By its code."},
	{RequestResumed, "request resumed", "An answer went on after its connection or keeper was lost.", "None, unless frequent."},
	{RequestRetried, "request retried", "An idempotent request went to another endpoint.", "None, unless frequent."},
	{RequestPlaced, "request placed", "A keeper chose the endpoint: Running of Limit were there, Missing tokens of shared parts have to be read; BeliefMs is how old the set is by which it was let in.", "None."},
	{RequestLeft, "caller left", "The caller closed its connection before its answer was whole; the endpoint was told to stop.", "None, unless frequent."},
	{RequestCut, "answer cut", "An answer that had begun can't go on: the caller's connection was closed so that it does not look whole.", "By its Cause."},
	{ClaimWon, "claim won", "A quorum of electors vouches for this home.", "None."},
	{ClaimDeferred, "claim deferred", "Another home holds the key; it was asked for the answer.", "None."},
	{ClaimUnsettled, "claim unsettled", "Too few electors vouched; nothing was sent. The caller was told Unknown.", "Check the hosts if it lasts longer than ElectorGrace."},
	{ClaimVoided, "claim voided", "The key was refused as not run and can never run.", "None."},
	{RequestSuspected, "request suspected", "An endpoint was lost while it ran this fingerprint.", "None yet."},
	{RequestCondemned, "request condemned", "The fingerprint cost two endpoints and is refused everywhere.", "Find the caller by workspace and fingerprint."},
	{HandlerRecovered, "handler recovered", "A request handler panicked; the process goes on.", "Report the stack as a defect."},
	{LinesDropped, "log lines dropped", "More lines than the log's budget, or a reader that does not read; counted by event.", "Read the log faster, or look at the counters."},
	{EntryUnreadable, "registration unreadable", "A registration in the platform's store can't be read and names no endpoint.", "Find who wrote it."},
	{EndpointSeen, "endpoint registered", "An endpoint registered itself, or changed what it says of itself.", "None."},
	{EndpointGone, "endpoint gone", "An endpoint is no longer registered, or did not come back after an outage of the store.", "None, unless it should be there."},
	{CacheListed, "cache listed", "A keeper that begins asked an engine what its cache holds; with an error, what lies there is read again.", "None."},
	{DatagramUnreadable, "datagram unreadable", "A datagram on the hosts' own port can't be read.", "See who sends it; versions may differ."},
	{DatagramUnsent, "datagram not sent", "A datagram to another host could not be sent.", "None, unless it lasts."},
	{KeeperSilent, "keeper silent", "The host that keeps a service did not answer; the request's own host decided.", "Check that host if it lasts."},
}

var texts = func() map[Number]string {
	m := make(map[Number]string, len(Catalogue))
	for _, entry := range Catalogue {
		m[entry.Number] = entry.Text
	}
	return m
}()

// Log begins a log line for an event; the caller adds fields and sends it with Msg(Text(n)).
func Log(log zerolog.Logger, level zerolog.Level, n Number) *zerolog.Event {
	return log.WithLevel(level).Str("Event", n.String())
}

// Note begins a log line for an event, with its text as the message; the caller adds fields and sends it with Send.
func Note(log zerolog.Logger, level zerolog.Level, n Number) *zerolog.Event {
	return log.WithLevel(level).Str("Event", n.String()).Str(zerolog.MessageFieldName, Text(n))
}

// Text returns an event's short text.
func Text(n Number) string { return texts[n] }

// Markdown returns the catalogue as the page docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated from `balsamknot/event`; CI checks that the two agree.\n\n")
	b.WriteString("| Event | Text | Meaning | What an operator does |\n| --- | --- | --- | --- |\n")
	for _, e := range Catalogue {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", e.Number, e.Text, e.Meaning, e.Action)
	}
	return b.String()
}
