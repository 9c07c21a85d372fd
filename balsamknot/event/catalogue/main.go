// Command catalogue writes the content of docs/EVENTS.md to standard output.
package main

import (
	"fmt"

	"balsamknot.org/balsamknot/event"
)

func main() {
	fmt.Print(event.Markdown())
}
