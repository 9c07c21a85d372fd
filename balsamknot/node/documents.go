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
	"balsamknot.org/fleet/answer"
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
	pollInterval = time.Second
	fetchTimeout = time.Second
	// syncFanout is how many peers a node queries for documents at startup, and exchanges state with after a pause.
	syncFanout = 5
	// updateFanout is how many peers are notified of a new revision at once; the others learn of it from heartbeats.
	updateFanout = 3
)

// documents reads the platform's documents, from the platform and from peers, and holds the versions in force on this node.
type documents struct {
	n        *Node
	platform *platform.Client

	mu                  sync.Mutex
	tracker             *revision.Tracker
	platformUnreachable bool
	fetching            map[revision.DocumentName]bool
	current             atomic.Pointer[snapshot]
	// platformReads counts the requests to the platform.
	platformReads atomic.Int64
}

// snapshot is an index of the documents in force, for lookups while a request is handled. It is immutable: a new document
// replaces the whole snapshot.
type snapshot struct {
	objects            *object.Objects
	setRevision        revision.Number
	workspaceByKeyHash map[string]string
	serviceByModel     map[string]string
	endpoints          map[engine.ID]engine.Record
	pools              map[string][]engine.ID
}

func newDocuments(n *Node) *documents {
	d := &documents{n: n, fetching: make(map[revision.DocumentName]bool)}
	d.platform = &platform.Client{
		Address: n.cfg.PlatformAddress,
		HTTP:    &http.Client{Transport: answer.Transport{Base: &http.Transport{DialContext: countingDial(n.meter.countRead)}}, Timeout: watchTimeout},
	}
	d.tracker = revision.NewTracker(validateDocument)
	d.current.Store(&snapshot{objects: &object.Objects{}})
	return d
}

// validateDocument returns an error if a document is invalid. The result depends on its name and bytes alone, so that all
// nodes accept or reject the same versions.
func validateDocument(doc revision.Document) error {
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

// run loads the documents, makes the node ready, and follows the platform until ctx ends. Hosts and endpoints are read from
// the platform first, then all documents from peers, and last the set from the platform. A platform replica that serves an old
// set can thus not bring it into force while peers have a newer one.
func (d *documents) run(ctx context.Context) {
	for ctx.Err() == nil && !d.bootstrap(ctx) {
		timer.Sleep(ctx, pollInterval)
	}
	// As elector this node abstains on keys created before its start or less than ClockSkew after it, since a previous
	// process on this host may have granted them. Until callers no longer create such keys, it is not ready.
	timer.Sleep(ctx, d.n.cfg.ClockSkew)
	if ctx.Err() != nil {
		return
	}
	d.n.ready.Store(true)
	// Peers that tried to reach this host before its start treat it as suspect until they receive a message from it.
	d.n.members.broadcast(ctx, maxBroadcastPeers)
	event.Log(d.n.log, zerolog.InfoLevel, event.NodeReady).Uint64("Revision", uint64(d.snapshot().setRevision)).Msg(event.Text(event.NodeReady))
	var wg sync.WaitGroup
	for _, name := range revision.DocumentNames() {
		wg.Go(func() { d.followPlatform(ctx, name) })
	}
	wg.Wait()
}

// bootstrap loads the documents once, and reports whether the node now has a version of each.
func (d *documents) bootstrap(ctx context.Context) bool {
	for _, name := range []revision.DocumentName{revision.DocumentHosts, revision.DocumentEndpoints} {
		d.readFromPlatform(ctx, name)
	}
	addresses := d.n.cfg.Seeds
	for _, id := range d.n.members.peerIDs() {
		if record, ok := d.n.members.record(id); ok {
			addresses = append(addresses, record.PeerAddress)
		}
	}
	d.fetchFromPeers(ctx, addresses)
	d.readFromPlatform(ctx, revision.DocumentSet)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range revision.DocumentNames() {
		if d.tracker.Current(name).Number == 0 {
			return false
		}
	}
	return true
}

// fetchFromPeers fetches all documents from the first syncFanout addresses concurrently.
func (d *documents) fetchFromPeers(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range addresses[:min(syncFanout, len(addresses))] {
		for _, name := range revision.DocumentNames() {
			wg.Go(func() { d.fetchDocument(ctx, address, name) })
		}
	}
	wg.Wait()
}

// fetchDocument fetches the version of a document that a peer has in force: as deltas to this node's version or, if they do
// not apply, as a whole.
func (d *documents) fetchDocument(ctx context.Context, address string, name revision.DocumentName) {
	for _, have := range []revision.Document{d.currentDocument(name), {}} {
		reply, err := d.n.peers.controlClient(address).FetchDocument(ctx, connect.NewRequest(&wire.FetchDocumentRequest{
			Name: string(name), HaveRevision: uint64(have.Number),
		}))
		if err != nil || !reply.Msg.GetFound() {
			return
		}
		doc, err := documentFromReply(name, have, reply.Msg)
		if err == nil {
			d.offer(doc, address)
			return
		}
	}
}

// documentFromReply returns the document in a peer's reply, with deltas applied to have. The error is
// revision.ErrDeltaMismatch if they do not apply, so that the whole document has to be fetched.
func documentFromReply(name revision.DocumentName, have revision.Document, reply *wire.FetchDocumentReply) (revision.Document, error) {
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

// fetchReply returns the reply to a peer whose version of a document is have. Found is false in it if this node has no newer
// version.
func (d *documents) fetchReply(name revision.DocumentName, have revision.Number) *wire.FetchDocumentReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	doc := d.tracker.Current(name)
	if doc.Number == 0 || doc.Number <= have {
		return &wire.FetchDocumentReply{}
	}
	reply := &wire.FetchDocumentReply{Found: true, Revision: uint64(doc.Number)}
	deltas, ok := d.tracker.DeltasSince(name, have)
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

// readFromPlatform reads one document from the platform.
func (d *documents) readFromPlatform(ctx context.Context, name revision.DocumentName) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d.platformReads.Add(1)
	doc, found, err := d.platform.Read(ctx, name)
	d.logReachability(ctx, err)
	if err == nil && found {
		d.offer(doc, d.platform.Address)
	}
}

// followPlatform watches a document at the platform while this node is one of the hosts that do so for their data centre (see
// revision.IsWatcher), and otherwise reads it at the interval revision.FallbackReadInterval.
func (d *documents) followPlatform(ctx context.Context, name revision.DocumentName) {
	lastRead := d.n.timers.Now()
	for ctx.Err() == nil {
		live := d.n.members.liveInDataCentre()
		now := d.n.timers.Now()
		switch {
		case revision.IsWatcher(name, d.n.self.ID, live):
			d.watch(ctx, name)
			lastRead = now
		case now.Sub(lastRead) > revision.FallbackReadInterval(len(d.n.members.peerIDs())+1):
			d.readFromPlatform(ctx, name)
			lastRead = now
		default:
			timer.Sleep(ctx, pollInterval)
		}
	}
}

func (d *documents) watch(ctx context.Context, name revision.DocumentName) {
	d.platformReads.Add(1)
	doc, found, err := d.platform.Watch(ctx, name, d.highestOffered(name), watchWait)
	d.logReachability(ctx, err)
	switch {
	case err != nil:
		timer.Sleep(ctx, pollInterval)
	case found:
		d.offer(doc, d.platform.Address)
	}
}

// highestOffered returns the newest version of a document that this node has received, accepted or rejected. Watching from
// there keeps the platform from sending a rejected version again.
func (d *documents) highestOffered(name revision.DocumentName) revision.Number {
	d.mu.Lock()
	defer d.mu.Unlock()
	if rejection, ok := d.tracker.LastRejected(name); ok {
		return rejection.Number
	}
	return d.tracker.Current(name).Number
}

// logReachability logs when the platform becomes unreachable or reachable again. Errors of reads that this node cancelled
// itself are ignored.
func (d *documents) logReachability(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	d.mu.Lock()
	wasUnreachable := d.platformUnreachable
	d.platformUnreachable = err != nil
	d.mu.Unlock()
	switch {
	case err != nil && !wasUnreachable:
		event.Log(d.n.log, zerolog.WarnLevel, event.PlatformUnreachable).Err(err).Msg(event.Text(event.PlatformUnreachable))
	case err == nil && wasUnreachable:
		event.Log(d.n.log, zerolog.InfoLevel, event.PlatformReachable).Msg(event.Text(event.PlatformReachable))
	}
}

// offer passes a document to the tracker. An accepted document comes into force here, and peers are notified of it. from is
// the address that the document came from.
func (d *documents) offer(doc revision.Document, from string) {
	d.mu.Lock()
	decision, err := d.tracker.Offer(doc)
	if decision == revision.Accepted {
		d.rebuildSnapshot()
	}
	d.mu.Unlock()
	switch decision {
	case revision.Accepted:
		event.Log(d.n.log, zerolog.InfoLevel, event.DocumentAccepted).Str("Document", string(doc.Name)).
			Uint64("Revision", uint64(doc.Number)).Str("From", from).Msg(event.Text(event.DocumentAccepted))
		d.applyDocument(doc)
		d.n.work.Go(func() { d.n.members.broadcast(context.Background(), updateFanout) })
	case revision.Rejected:
		event.Log(d.n.log, zerolog.ErrorLevel, event.DocumentRefused).Str("Document", string(doc.Name)).
			Uint64("Revision", uint64(doc.Number)).Err(err).Msg(event.Text(event.DocumentRefused))
	case revision.Ignored:
	}
}

// applyDocument updates the view of the hosts and the assignment of endpoints to keepers after a document was accepted.
func (d *documents) applyDocument(doc revision.Document) {
	if doc.Name == revision.DocumentHosts {
		if list, err := revision.ParseHosts(doc.Value); err == nil {
			d.n.members.update(d.n.timers.Now(), host.ListReceived{Hosts: list.Hosts})
		}
	}
	d.n.keeper.updateAssignments()
}

// rebuildSnapshot replaces the snapshot by one of the current documents. It is called with mu held.
func (d *documents) rebuildSnapshot() {
	s := &snapshot{
		setRevision:        d.tracker.Current(revision.DocumentSet).Number,
		workspaceByKeyHash: make(map[string]string),
		serviceByModel:     make(map[string]string),
		endpoints:          make(map[engine.ID]engine.Record),
		pools:              make(map[string][]engine.ID),
	}
	s.objects, _ = object.Check(d.tracker.Current(revision.DocumentSet).Value)
	for name, workspace := range s.objects.Workspaces {
		s.workspaceByKeyHash[workspace.KeyHash] = name
	}
	for name, service := range s.objects.Services {
		if service.Model != "" {
			s.serviceByModel[service.Model] = name
		}
	}
	if list, err := revision.ParseEndpoints(d.tracker.Current(revision.DocumentEndpoints).Value); err == nil {
		for _, record := range list.Endpoints {
			s.endpoints[record.ID] = record
			s.pools[record.Pool] = append(s.pools[record.Pool], record.ID)
		}
	}
	d.current.Store(s)
}

func (d *documents) snapshot() *snapshot { return d.current.Load() }

func (d *documents) currentRevision(name revision.DocumentName) revision.Number {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Current(name).Number
}

func (d *documents) currentDocument(name revision.DocumentName) revision.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Current(name)
}

func (d *documents) lastRejectedSet() (revision.Rejection, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.LastRejected(revision.DocumentSet)
}

// documentMarks returns the revisions in force here, to be sent to peers.
func (d *documents) documentMarks() []*wire.DocumentMark {
	d.mu.Lock()
	defer d.mu.Unlock()
	marks := make([]*wire.DocumentMark, 0, len(revision.DocumentNames()))
	for _, name := range revision.DocumentNames() {
		marks = append(marks, &wire.DocumentMark{Name: string(name), Revision: uint64(d.tracker.Current(name).Number)})
	}
	return marks
}

// fetchNewer fetches the documents of which a peer has a higher revision in force. Only one fetch of a document runs at a
// time; other peers' revisions are ignored until it has ended.
func (d *documents) fetchNewer(from host.ID, marks []*wire.DocumentMark) {
	record, ok := d.n.members.record(from)
	if !ok {
		return
	}
	for _, mark := range marks {
		name := revision.DocumentName(mark.GetName())
		if revision.Number(mark.GetRevision()) <= d.currentRevision(name) || !d.startFetch(name) {
			continue
		}
		d.n.work.Go(func() {
			defer d.finishFetch(name)
			ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
			defer cancel()
			d.fetchDocument(ctx, record.PeerAddress, name)
		})
	}
}

func (d *documents) startFetch(name revision.DocumentName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fetching[name] {
		return false
	}
	d.fetching[name] = true
	return true
}

func (d *documents) finishFetch(name revision.DocumentName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fetching[name] = false
}

// refresh reads all documents from the platform. It is used after the process was paused.
func (d *documents) refresh(ctx context.Context) {
	for _, name := range revision.DocumentNames() {
		d.readFromPlatform(ctx, name)
	}
}

// bearerKeyHash returns the hash of a bearer key in the form of object.Workspace.KeyHash.
func bearerKeyHash(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// workspaceByBearerKey returns the workspace of a bearer key, and false if there is none.
func (s *snapshot) workspaceByBearerKey(key string) (object.Workspace, bool) {
	name, ok := s.workspaceByKeyHash[bearerKeyHash(key)]
	return s.objects.Workspaces[name], ok
}
