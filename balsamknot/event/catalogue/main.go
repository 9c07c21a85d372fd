// Command catalogue writes docs/EVENTS.md, the list of the events that nodes log, to standard output.
package main

import (
	"fmt"

	"balsamknot.org/balsamknot/event"
)

func main() {
	fmt.Print(event.Markdown())
}
