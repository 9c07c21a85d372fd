// Package kit has what the cases of the review share: stand-ins of the platform's store, of endpoints and of the load balancer, entry hosts
// as processes, callers, and the record of a run.
package kit

import (
	_ "embed"
	"encoding/json"
	"strings"
)

//go:embed wire.json
var wireFile []byte

// Wire holds the names of the platform's protocol, which wire.json lists.
var Wire = func() (w struct {
	Headers, Paths, Keys, Query, Fields map[string]string
	Registration                        json.RawMessage
	Settings                            map[string]string
}) {
	if err := json.Unmarshal(wireFile, &w); err != nil {
		panic(err)
	}
	return w
}()

// Header returns the name of a header.
func Header(name string) string {
	value, ok := Wire.Headers[name]
	if !ok {
		panic("unknown header " + name)
	}
	return value
}

// fill replaces the variables of a text, $NAME by a string and "#NAME" by a number.
func fill(text string, variables map[string]string) string {
	for name, value := range variables {
		text = strings.ReplaceAll(text, `"#`+name+`"`, value)
		text = strings.ReplaceAll(text, "$"+name, value)
	}
	return text
}
