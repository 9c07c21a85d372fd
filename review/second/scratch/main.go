package main

import (
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"time"

	"balsamknot.org/platform/standin"
	"balsamknot.org/review/second/deployment"
)

func main() {
	program := flag.String("entry", "", "")
	flag.Parse()
	dir, _ := os.MkdirTemp("", "scratch-")
	defer os.RemoveAll(dir)
	store := standin.NewStore()
	store.Publish(1, "k1")
	for i := range 4 {
		standin.NewEndpoint(store, fmt.Sprintf("e-%d", i), "engines", func(w http.ResponseWriter, r *http.Request) {
			for n := 1; n <= 5; n++ {
				fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			}
		})
		standin.NewEndpoint(store, fmt.Sprintf("p-%d", i), "plain", nil)
	}
	d, err := deployment.Start(deployment.Config{Program: *program, Dir: dir, Hosts: 3, DataCentres: []string{"z1", "z2"}, StoreAddress: func(int) string { return store.Address() }})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer d.Close()
	nums := []string{"9223372036854775807", "-9223372036854775808", "-1", "0", "1", "99999999999999999999", "NaN", "1e308", "100", "4611686018427387904", ""}
	pick := func() string { return nums[rand.Intn(len(nums))] }
	statuses := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for c := range 24 {
		wg.Go(func() {
			for i := range 150 {
				path := []string{"/stream/x", "/draft/x", "/once/x", "/again/x", "/persistent/x"}[rand.Intn(5)]
				a := deployment.Send(d.Hosts[rand.Intn(3)], http.MethodPost, path, fmt.Sprintf("r%d-%d", c, i), "k1", 2*time.Second, func(r *http.Request) {
					p := ""
					for range rand.Intn(5) {
						p += fmt.Sprintf("%x:%s,", rand.Intn(6), pick())
					}
					r.Header.Set(standin.PromptPartsHeader, p+"aa"+":"+pick())
					for name := range platformHeaders {
						if rand.Intn(2) == 0 {
							v := pick()
							if name == platformHeaders2 {
								v = pick() + "," + pick()
							}
							r.Header.Set(name, v)
						}
					}
				})
				mu.Lock()
				statuses[fmt.Sprint(a.Status, a.Err != nil)]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Println(statuses)
	for _, h := range d.Hosts {
		fmt.Println(h.Name, len(h.Logs("panic")), len(h.Logs("goroutine")), h.AwaitReady(time.Second))
	}
}
