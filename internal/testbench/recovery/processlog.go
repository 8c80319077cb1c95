package recovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	maxAwait  = 15 * time.Second // timeout of await and of the start of a process
	maxClose  = 2 * time.Second  // for the end of file, which a process that still runs would prevent
	tailLines = 5                // log lines in an error message
)

// processLog records the output of processes in a file and as lines in memory, for which callers can wait. All processes
// write to one pipe. The exit of a process is written there, too, so that it follows the process's last line.
type processLog struct {
	file           io.Writer
	reader, writer *os.File
	done           chan struct{} // closed once all writers have closed the pipe

	mutex   sync.Mutex
	lines   []string
	changed chan struct{} // closed when the next line is added
}

func newProcessLog(file io.Writer) (*processLog, error) {
	b := &processLog{file: file, done: make(chan struct{}), changed: make(chan struct{})}
	var err error
	if b.reader, b.writer, err = os.Pipe(); err != nil {
		return nil, err
	}
	go b.read()
	return b, nil
}

// read adds the lines of the pipe until its end.
func (l *processLog) read() {
	defer close(l.done)
	for br := bufio.NewReader(l.reader); ; {
		line, err := br.ReadString('\n')
		if line != "" {
			l.add(strings.TrimSuffix(line, "\n"))
		}
		if err != nil {
			return
		}
	}
}

func (l *processLog) add(line string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fmt.Fprintln(l.file, line)
	l.lines = append(l.lines, line)
	close(l.changed)
	l.changed = make(chan struct{})
}

// close returns once all output is recorded. All processes must have exited.
func (l *processLog) close() {
	l.writer.Close()
	_ = l.reader.SetReadDeadline(time.Now().Add(maxClose))
	<-l.done
	l.reader.Close()
}

// mark returns the position after the last line.
func (l *processLog) mark() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.lines)
}

// end records that a process has exited.
func (l *processLog) end(p *process) { fmt.Fprintln(l.writer, p.lastLine()) }

// await returns the first line at or after the position from that contains one of the texts. It fails once ctx is done, after
// maxAwait, or when p, which should log the line, has exited.
func (l *processLog) await(ctx context.Context, from int, p *process, texts ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAwait)
	defer cancel()
	last := p.lastLine()
	for at := from; ; {
		l.mutex.Lock()
		lines, changed := l.lines, l.changed
		l.mutex.Unlock()
		line, found := find(lines[at:], append(texts, last))
		if found && line != last {
			return line, nil
		}
		if at = len(lines); !found {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
			}
		}
		return "", fmt.Errorf("process %d (%s) has not logged %q; last lines: %s", p.Pid, p.status(), texts,
			strings.Join(lines[max(from, len(lines)-tailLines):], "; "))
	}
}

// lookup returns the first line at or after the position from that contains the text, if there is one yet.
func (l *processLog) lookup(from int, text string) (string, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return find(l.lines[from:], []string{text})
}

// find returns the first line that contains one of the texts.
func find(lines, texts []string) (string, bool) {
	for _, line := range lines {
		for _, w := range texts {
			if strings.Contains(line, w) {
				return line, true
			}
		}
	}
	return "", false
}
