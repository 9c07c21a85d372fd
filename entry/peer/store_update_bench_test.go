package peer

import (
	"fmt"
	"io"
	"testing"
	"time"

	"balsamknot.org/fleet/catalogue"
)

// storeHistory returns a history with the registrations of endpoints.
func storeHistory(endpoints int) *catalogue.History {
	var entries []catalogue.Entry
	for i := range endpoints {
		value := fmt.Sprintf(`{"Service":"mise97a","Address":"10.%d.%d.%d:20%03d","DataCentre":"zone-antwerp","StartedAt":%d,"Slots":16,"State":"ready"}`, i%7, i/250, i%250, i%1000, 1787258192415+i*7919)
		entries = append(entries, catalogue.Entry{Key: fmt.Sprintf("endpoints/i-%010x", uint64(i)*0x9e3779b97f4a7c15>>24), Value: []byte(value)})
	}
	h := catalogue.NewHistory()
	h.Record(time.Unix(1000, 0), entries, catalogue.Position{Revision: 1}, true)
	return h
}

// BenchmarkCompressEntries compresses the copy of a store with 3,000 endpoints, once for all hosts that ask for it.
func BenchmarkCompressEntries(b *testing.B) {
	entries, _ := storeHistory(3000).Since(catalogue.Position{})
	size := 0
	for b.Loop() {
		compressed, err := CompressEntries(entries)
		if err != nil {
			b.Fatal(err)
		}
		size = len(compressed)
	}
	b.ReportMetric(float64(size), "B/update")
}

// BenchmarkWriteUpdate writes that copy for one host.
func BenchmarkWriteUpdate(b *testing.B) {
	entries, _ := storeHistory(3000).Since(catalogue.Position{})
	compressed, err := CompressEntries(entries)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := (OutgoingUpdate{Position: catalogue.Position{Revision: 1}, Full: true, Entries: compressed}).writeTo(io.Discard); err != nil {
			b.Fatal(err)
		}
	}
}
