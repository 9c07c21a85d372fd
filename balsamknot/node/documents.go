package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/object"
	"balsamknot.org/fleet/platform"
	"balsamknot.org/fleet/revision"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/fleet/wire"
)

const (
	watchWait    = 20 * time.Second
	watchTimeout = watchWait + 5*time.Second
	watchPause   = time.Second
	startupWait  = time.Second
	// askedAtStart is how many peers a starting node asks before it trusts the platform alone.
	askedAtStart = 5
	// toldOfNews is how many peers hear of a new revision at once.
	toldOfNews = 3
)

// documents is the controller of what is in force on the node.
type documents struct {
	n        *Node
	platform *platform.Client

	mu       sync.Mutex
	ledger   *revision.Tracker
	lost     bool
	fetching map[revision.DocumentName]bool
	current  atomic.Pointer[inForce]
	// reads counts calls to the platform.
	reads atomic.Int64
}

// inForce is what requests need of the documents in force; it is replaced as a whole.
type inForce struct {
	objects   *object.Objects
	number    revision.Number
	byKey     map[string]string
	byModel   map[string]string
	endpoints map[engine.ID]engine.Record
	pools     map[string][]engine.ID
}

func newDocuments(n *Node) *documents {
	d := &documents{n: n, fetching: make(map[revision.DocumentName]bool)}
	d.platform = &platform.Client{
		Address: n.cfg.PlatformAddress,
		HTTP:    &http.Client{Transport: &http.Transport{DialContext: countingDial(n.meter.countRead)}, Timeout: watchTimeout},
	}
	d.ledger = revision.NewTracker(verdict)
	d.current.Store(&inForce{objects: &object.Objects{}})
	return d
}

// verdict checks a document; it depends on the document's bytes alone.
func verdict(doc revision.Document) error {
	switch doc.Name {
	case revision.DocumentHosts:
		_, err := revision.ParseHosts(doc.Value)
		return err
	case revision.DocumentEndpoints:
		_, err := revision.ParseEndpoints(doc.Value)
		return err
	case revision.DocumentSet:
		if _, faults := object.Check(doc.Value); faults.HasErrors() {
			return faults
		}
		return nil
	}
	return fmt.Errorf("unknown document %q", doc.Name)
}

// start brings the node's documents into force: first hosts, then what the peers have, then the platform's set,
// so that a stale platform can't put an old set into force beside peers that have a newer one.
func (d *documents) start(ctx context.Context) {
	for ctx.Err() == nil && !d.bootstrap(ctx) {
		timer.Sleep(ctx, watchPause)
	}
	// Until then this node's electors abstain, since keys may have been minted before it began to remember.
	timer.Sleep(ctx, d.n.cfg.ClockSkew)
	if ctx.Err() != nil {
		return
	}
	d.n.ready.Store(true)
	// Peers that tried this host before it was up hold it suspect until they hear of it.
	d.n.members.broadcast(ctx, maxBroadcastPeers)
	event.Log(d.n.log, zerolog.InfoLevel, event.NodeReady).Uint64("Revision", uint64(d.inForce().number)).Msg(event.Text(event.NodeReady))
	var wg sync.WaitGroup
	for _, name := range revision.DocumentNames() {
		wg.Go(func() { d.follow(ctx, name) })
	}
	wg.Wait()
}

func (d *documents) bootstrap(ctx context.Context) bool {
	for _, name := range []revision.DocumentName{revision.DocumentHosts, revision.DocumentEndpoints} {
		d.read(ctx, name)
	}
	addresses := d.n.cfg.Seeds
	for _, id := range d.n.members.peerIDs() {
		if record, ok := d.n.members.record(id); ok {
			addresses = append(addresses, record.PeerAddress)
		}
	}
	d.askPeers(ctx, addresses)
	d.read(ctx, revision.DocumentSet)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range revision.DocumentNames() {
		if d.ledger.Current(name).Number == 0 {
			return false
		}
	}
	return true
}

// askPeers takes every document from the first peers that answer.
func (d *documents) askPeers(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, startupWait)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range addresses[:min(askedAtStart, len(addresses))] {
		for _, name := range revision.DocumentNames() {
			wg.Go(func() { d.fetch(ctx, address, name) })
		}
	}
	wg.Wait()
}

// fetch takes one document from a peer: the deltas to its version, or all of it.
func (d *documents) fetch(ctx context.Context, address string, name revision.DocumentName) {
	for _, have := range []revision.Document{d.document(name), {}} {
		reply, err := d.n.peers.controlClient(address).FetchDocument(ctx, connect.NewRequest(&wire.FetchDocumentRequest{
			Name: string(name), HaveRevision: uint64(have.Number),
		}))
		if err != nil || !reply.Msg.GetFound() {
			return
		}
		doc, err := assemble(name, have, reply.Msg)
		if err == nil {
			d.offer(doc, address)
			return
		}
	}
}

// assemble returns the document of a peer's reply. revision.ErrDeltaMismatch says that it has to be fetched whole.
func assemble(name revision.DocumentName, have revision.Document, reply *wire.FetchDocumentReply) (revision.Document, error) {
	if len(reply.GetDeltas()) == 0 {
		return revision.Document{Name: name, Number: revision.Number(reply.GetRevision()), Value: reply.GetValue()}, nil
	}
	doc := have
	for _, delta := range reply.GetDeltas() {
		var err error
		doc, err = revision.Delta{
			From: revision.Number(delta.GetFrom()), To: revision.Number(delta.GetTo()), Prefix: int(delta.GetPrefix()),
			Suffix: int(delta.GetSuffix()), Middle: delta.GetMiddle(), Sum: delta.GetSum(),
		}.Apply(doc)
		if err != nil {
			return revision.Document{}, err
		}
	}
	return doc, nil
}

// reply answers a peer that has a version of a document.
func (d *documents) reply(name revision.DocumentName, have revision.Number) *wire.FetchDocumentReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	doc := d.ledger.Current(name)
	if doc.Number == 0 || doc.Number <= have {
		return &wire.FetchDocumentReply{}
	}
	reply := &wire.FetchDocumentReply{Found: true, Revision: uint64(doc.Number)}
	deltas, ok := d.ledger.DeltasSince(name, have)
	if !ok {
		reply.Value = doc.Value
		return reply
	}
	for _, delta := range deltas {
		reply.Deltas = append(reply.Deltas, &wire.Delta{
			From: uint64(delta.From), To: uint64(delta.To), Prefix: uint32(delta.Prefix), Suffix: uint32(delta.Suffix),
			Middle: delta.Middle, Sum: delta.Sum,
		})
	}
	return reply
}

// read takes one document from the platform.
func (d *documents) read(ctx context.Context, name revision.DocumentName) {
	ctx, cancel := context.WithTimeout(ctx, startupWait)
	defer cancel()
	d.reads.Add(1)
	doc, found, err := d.platform.Read(ctx, name)
	d.noteReach(ctx, err)
	if err == nil && found {
		d.offer(doc, d.platform.Address)
	}
}

// follow watches a document on the few nodes whose turn it is, and looks seldom on the others.
func (d *documents) follow(ctx context.Context, name revision.DocumentName) {
	last := d.n.timers.Now()
	for ctx.Err() == nil {
		live := d.n.members.liveInDataCentre()
		now := d.n.timers.Now()
		switch {
		case revision.IsWatcher(name, d.n.self.ID, live):
			d.watch(ctx, name)
			last = now
		case now.Sub(last) > revision.FallbackReadInterval(len(d.n.members.peerIDs())+1):
			d.read(ctx, name)
			last = now
		default:
			timer.Sleep(ctx, watchPause)
		}
	}
}

func (d *documents) watch(ctx context.Context, name revision.DocumentName) {
	d.reads.Add(1)
	doc, found, err := d.platform.Watch(ctx, name, d.seen(name), watchWait)
	d.noteReach(ctx, err)
	switch {
	case err != nil:
		timer.Sleep(ctx, watchPause)
	case found:
		d.offer(doc, d.platform.Address)
	}
}

func (d *documents) seen(name revision.DocumentName) revision.Number {
	d.mu.Lock()
	defer d.mu.Unlock()
	if refused, ok := d.ledger.LastRejected(name); ok {
		return refused.Number
	}
	return d.ledger.Current(name).Number
}

// noteReach logs when the platform is lost and when it is back; the node's own stop is neither.
func (d *documents) noteReach(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	d.mu.Lock()
	was := d.lost
	d.lost = err != nil
	d.mu.Unlock()
	switch {
	case err != nil && !was:
		event.Log(d.n.log, zerolog.WarnLevel, event.PlatformUnreachable).Err(err).Msg(event.Text(event.PlatformUnreachable))
	case err == nil && was:
		event.Log(d.n.log, zerolog.InfoLevel, event.PlatformReachable).Msg(event.Text(event.PlatformReachable))
	}
}

// offer lets the ledger decide on a document and brings an accepted one into force.
func (d *documents) offer(doc revision.Document, from string) {
	d.mu.Lock()
	decision, err := d.ledger.Offer(doc)
	if decision == revision.Accepted {
		d.rebuild()
	}
	d.mu.Unlock()
	switch decision {
	case revision.Accepted:
		event.Log(d.n.log, zerolog.InfoLevel, event.DocumentAccepted).Str("Document", string(doc.Name)).
			Uint64("Revision", uint64(doc.Number)).Str("From", from).Msg(event.Text(event.DocumentAccepted))
		d.apply(doc)
		d.n.work.Go(func() { d.n.members.broadcast(context.Background(), toldOfNews) })
	case revision.Rejected:
		event.Log(d.n.log, zerolog.ErrorLevel, event.DocumentRefused).Str("Document", string(doc.Name)).
			Uint64("Revision", uint64(doc.Number)).Err(err).Msg(event.Text(event.DocumentRefused))
	case revision.Ignored:
	}
}

// apply hands an accepted document to the controllers that it concerns.
func (d *documents) apply(doc revision.Document) {
	if doc.Name == revision.DocumentHosts {
		if list, err := revision.ParseHosts(doc.Value); err == nil {
			d.n.members.update(d.n.timers.Now(), host.ListReceived{Hosts: list.Hosts})
		}
	}
	d.n.keeper.updateAssignments()
}

// rebuild is called with mu held.
func (d *documents) rebuild() {
	next := &inForce{
		number:    d.ledger.Current(revision.DocumentSet).Number,
		byKey:     make(map[string]string),
		byModel:   make(map[string]string),
		endpoints: make(map[engine.ID]engine.Record),
		pools:     make(map[string][]engine.ID),
	}
	next.objects, _ = object.Check(d.ledger.Current(revision.DocumentSet).Value)
	for name, workspace := range next.objects.Workspaces {
		next.byKey[workspace.KeyHash] = name
	}
	for name, service := range next.objects.Services {
		if service.Model != "" {
			next.byModel[service.Model] = name
		}
	}
	if list, err := revision.ParseEndpoints(d.ledger.Current(revision.DocumentEndpoints).Value); err == nil {
		for _, record := range list.Endpoints {
			next.endpoints[record.ID] = record
			next.pools[record.Pool] = append(next.pools[record.Pool], record.ID)
		}
	}
	d.current.Store(next)
}

func (d *documents) inForce() *inForce { return d.current.Load() }

func (d *documents) number(name revision.DocumentName) revision.Number {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.Current(name).Number
}

func (d *documents) document(name revision.DocumentName) revision.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.Current(name)
}

func (d *documents) lastRefused() (revision.Rejection, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.LastRejected(revision.DocumentSet)
}

// wireMarks tells peers which revisions are in force here.
func (d *documents) wireMarks() []*wire.DocumentMark {
	d.mu.Lock()
	defer d.mu.Unlock()
	marks := make([]*wire.DocumentMark, 0, len(revision.DocumentNames()))
	for _, name := range revision.DocumentNames() {
		marks = append(marks, &wire.DocumentMark{Name: string(name), Revision: uint64(d.ledger.Current(name).Number)})
	}
	return marks
}

// heardMarks fetches from a peer what it has in force at a higher revision.
func (d *documents) heardMarks(from host.ID, marks []*wire.DocumentMark) {
	record, ok := d.n.members.record(from)
	if !ok {
		return
	}
	for _, mark := range marks {
		name := revision.DocumentName(mark.GetName())
		if revision.Number(mark.GetRevision()) <= d.number(name) || !d.beginFetch(name) {
			continue
		}
		d.n.work.Go(func() {
			defer d.endFetch(name)
			ctx, cancel := context.WithTimeout(context.Background(), startupWait)
			defer cancel()
			d.fetch(ctx, record.PeerAddress, name)
		})
	}
}

func (d *documents) beginFetch(name revision.DocumentName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fetching[name] {
		return false
	}
	d.fetching[name] = true
	return true
}

func (d *documents) endFetch(name revision.DocumentName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fetching[name] = false
}

// refresh reads the lists anew after a pause.
func (d *documents) refresh(ctx context.Context) {
	for _, name := range revision.DocumentNames() {
		d.read(ctx, name)
	}
}

// workspaceHash returns the KeyHash of a bearer key.
func workspaceHash(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// workspaceOf returns the workspace of a bearer key.
func (f *inForce) workspaceOf(key string) (object.Workspace, bool) {
	name, ok := f.byKey[workspaceHash(key)]
	return f.objects.Workspaces[name], ok
}
