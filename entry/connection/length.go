package connection

import (
	"bytes"
	"strconv"
)

func writeLength(b *bytes.Buffer, n int) {
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(n))
	b.WriteString("\r\n")
}
