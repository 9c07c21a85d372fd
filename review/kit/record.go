package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file; a failure ends the program.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		Unable("create the record: %v", err)
	}
	return &Record{file: file, start: time.Now()}
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line and prints it as well.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitUnable = 2
)

var (
	cleanupMu sync.Mutex
	cleanups  []func()
)

// AtEnd registers a function for Finish.
func AtEnd(f func()) {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	cleanups = append(cleanups, f)
}

// Finish ends all that was started and then the program.
func Finish(code int) {
	cleanupMu.Lock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

// Unable ends the program because the case could not run.
func Unable(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	Finish(ExitUnable)
}

// Trouble reports whether the disruption is to happen.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// LimitTime ends the program if it still runs after a time.
func LimitTime(d time.Duration) {
	time.AfterFunc(d, func() { Unable("still running after %s", d) })
}
