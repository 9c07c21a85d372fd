package fingerprint

import (
	"fmt"
	"testing"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
)

// promptOf returns the fingerprints of the n-th request, which has three parts that others share.
func promptOf(n int) []Fingerprint {
	return []Fingerprint{Fingerprint(n), OfPart(1), OfPart(chat.PartID(n % 40)), OfPart(chat.PartID(n % 4000))}
}

// crashEngines records crashes of n engines under different requests with badPart, beside 30 sound ones each.
func crashEngines(r *Registry, n int) {
	for i := range n {
		at := start.Add(time.Duration(i) * time.Second)
		crash := Crash{Engine: engine.ID(fmt.Sprint("e", i)), Incarnation: 1}
		r.RecordCrash(at, badPart, crash)
		for j := range 30 {
			for _, fp := range promptOf(30*i + j) {
				r.RecordCrash(at, fp, crash)
			}
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	for name, crashes := range map[string]int{"no crashes": 0, "eight engines crashed": 8} {
		b.Run(name, func(b *testing.B) {
			r := NewRegistry(400 * time.Millisecond)
			crashEngines(r, crashes)
			b.ReportAllocs()
			for i := range b.N {
				r.Decide(start.Add(time.Minute), promptOf(i))
			}
		})
	}
}

func BenchmarkRecordCompletion(b *testing.B) {
	r := NewRegistry(400 * time.Millisecond)
	b.ReportAllocs()
	for i := range b.N {
		for _, fp := range promptOf(i) {
			r.RecordCompletion(start, fp)
		}
	}
}

// The crash of an engine with 31 requests reaches a host in datagrams of 16 rows, each of which is judged once.
func BenchmarkRecordCrash(b *testing.B) {
	const rowsPerDatagram = 16
	for _, crashes := range []int{1, 8, 80} {
		b.Run(fmt.Sprint(crashes, " crashes before"), func(b *testing.B) {
			r := NewRegistry(400 * time.Millisecond)
			crashEngines(r, crashes)
			at := start.Add(time.Duration(crashes) * time.Second)
			b.ReportAllocs()
			for i := range b.N {
				crash, rows := Crash{Engine: "e", Incarnation: int64(i%4 + 2)}, 0
				for j := range 31 {
					for _, fp := range append(promptOf(j), badPart) {
						r.RecordCrash(at, fp, crash)
						if rows++; rows%rowsPerDatagram == 0 {
							r.judged = false
							r.Verdict(at, fp)
						}
					}
				}
			}
		})
	}
}
