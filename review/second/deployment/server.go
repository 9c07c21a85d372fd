package deployment

import (
	"bufio"
	"os"
	"os/exec"
	"strings"
	"syscall"
)

// Server is a stand-in of a server, a process of its own. It tells what it does by lines on its standard output, the first of which is its address.
type Server struct {
	Name, Address string
	// Lines receives the lines after the first one. It is closed when the process ends.
	Lines   chan string
	Process *exec.Cmd
}

// ServerArgument is the first argument of a program that is started as a server.
const ServerArgument = "server"

// StartServer starts this program again as a server.
func StartServer(name string, args ...string) (*Server, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, Lines: make(chan string, 1024), Process: exec.Command(self, append([]string{ServerArgument, name}, args...)...)}
	s.Process.Stderr = os.Stderr
	endWithParent(s.Process)
	out, err := s.Process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.Process.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	lines.Scan()
	s.Address = strings.TrimSpace(lines.Text())
	go func() {
		defer close(s.Lines)
		for lines.Scan() {
			s.Lines <- lines.Text()
		}
	}()
	return s, nil
}

// Kill ends the process with SIGKILL.
func (s *Server) Kill() {
	_ = s.Process.Process.Kill()
	_ = s.Process.Wait()
}

// endWithParent makes a process end together with this one, however this one ends.
func endWithParent(cmd *exec.Cmd) { cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
