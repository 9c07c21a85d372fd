package main

import (
	"fmt"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
)

func main() {
	show := func(region string, zones []string, n int) {
		var ids []host.ID
		for _, z := range zones {
			for i := 1; i <= n; i++ {
				ids = append(ids, host.ID(fmt.Sprintf("front-%s-%d", z, i)))
			}
		}
		fmt.Println(region, placement.Rank("store/"+region, ids, 8))
	}
	show("ro-west", []string{"ro-west-a", "ro-west-b", "ro-west-c", "ro-west-d"}, 3)
	show("be-central", []string{"zone-antwerp", "zone-gent", "zone-liege", "zone-charleroi"}, 3)
}
