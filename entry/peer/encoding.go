package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Additions holds the lists of a datagram that hosts of earlier releases do not know. Any of them may be empty.
type Additions struct {
	_            struct{} `cbor:",toarray"`
	LimitReports []LimitReport
	// BoundRequests are slot requests of streams that go on at one software version only.
	BoundRequests []BoundRequest
	StreamOrigins []StreamOrigin
	StreamQueries []StreamQuery
	StreamReplies []StreamReply
}

func (a Additions) empty() bool {
	return len(a.LimitReports)+len(a.BoundRequests)+len(a.StreamOrigins)+len(a.StreamQueries)+len(a.StreamReplies) == 0
}

// extendedDatagram is the form of a datagram with Additions.
type extendedDatagram struct {
	_         struct{} `cbor:",toarray"`
	Datagram  Datagram
	Additions Additions
}

// Extras holds the lists of a datagram that hosts of the last release, which know Additions, do not know. Any of them may be empty.
type Extras struct {
	_          struct{} `cbor:",toarray"`
	Statements []StatementReport
	Rests      []RestReport
	// PartQueries ask a keeper which software versions cache a part of a prompt, and PartReplies answer that.
	PartQueries []PartQuery
	PartReplies []PartReply
}

func (e Extras) empty() bool {
	return len(e.Statements)+len(e.Rests)+len(e.PartQueries)+len(e.PartReplies) == 0
}

// datagramWithExtras is the form of a datagram with Extras.
type datagramWithExtras struct {
	_         struct{} `cbor:",toarray"`
	Datagram  Datagram
	Additions Additions
	Extras    Extras
}

// extendedHead is the first byte of an extendedDatagram, a CBOR array of two elements, and extrasHead that of a datagramWithExtras, one of
// three.
const (
	extendedHead = 0x82
	extrasHead   = 0x83
)

// EncodeAll returns the datagrams that carry d: one with its Extensions, if it has any, and one with the rest, unless that is empty.
func EncodeAll(d Datagram) ([][]byte, error) {
	var datagrams [][]byte
	extensions := d.Extensions
	d.Extensions = Extensions{}
	if extensions.empty() || !d.empty() {
		raw, err := Encode(d)
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, raw)
	}
	if !extensions.empty() {
		raw, err := encodeExtensions(d.From, extensions)
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, raw)
	}
	return datagrams, nil
}

// empty reports whether the datagram has no messages, apart from Extensions.
func (d Datagram) empty() bool {
	lists := len(d.Heartbeats) + len(d.SlotRequests) + len(d.SlotReplies) + len(d.SlotReleases) + len(d.HeldSlots) + len(d.Crashes) +
		len(d.CacheUpdates) + len(d.Probes) + len(d.ProbeReplies) + len(d.Notices)
	return lists == 0 && d.Additions.empty() && d.Extras.empty()
}

// Encode returns the datagram without its Extensions as CBOR: its array, or if it has Additions or Extras an array with these, which hosts of
// releases that do not know them drop.
func Encode(d Datagram) ([]byte, error) {
	var message any = d
	switch {
	case !d.Extras.empty():
		message = datagramWithExtras{Datagram: d, Additions: d.Additions, Extras: d.Extras}
	case !d.Additions.empty():
		message = extendedDatagram{Datagram: d, Additions: d.Additions}
	}
	raw, err := cbor.Marshal(message)
	return raw, eris.Wrap(err, "encode datagram")
}

// Decode parses a datagram that EncodeAll produced. The error describes the malformed part.
func Decode(raw []byte) (Datagram, error) {
	switch {
	case len(raw) > 0 && raw[0]&mapMask == mapHead:
		return decodeExtensions(raw)
	case len(raw) > 0 && raw[0] == extendedHead:
		var e extendedDatagram
		if err := cbor.Unmarshal(raw, &e); err != nil {
			return Datagram{}, eris.Wrap(err, "decode datagram with additions")
		}
		e.Datagram.Additions = e.Additions
		return e.Datagram, nil
	case len(raw) > 0 && raw[0] == extrasHead:
		var e datagramWithExtras
		if err := cbor.Unmarshal(raw, &e); err != nil {
			return Datagram{}, eris.Wrap(err, "decode datagram with extras")
		}
		e.Datagram.Additions, e.Datagram.Extras = e.Additions, e.Extras
		return e.Datagram, nil
	}
	var d Datagram
	err := cbor.Unmarshal(raw, &d)
	return d, eris.Wrap(err, "decode datagram")
}
