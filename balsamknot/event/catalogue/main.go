// Command catalogue prints docs/EVENTS.md.
package main

import (
	"fmt"

	"balsamknot.org/balsamknot/event"
)

func main() {
	fmt.Print(event.Markdown())
}
