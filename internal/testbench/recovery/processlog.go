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
	maxAwait  = 15 * time.Second // for a line of the log
	maxClose  = 2 * time.Second  // for a writer that has not ended
	tailLines = 5
)

// processLog keeps what processes print: in a file, and line by line for those who wait for a line. All print into one
// pipe, and the end of a process is written there, too, so that it comes after its last line.
type processLog struct {
	file           io.Writer
	reader, writer *os.File
	done           chan struct{} // closed when nobody writes any more

	mutex   sync.Mutex
	lines   []string
	changed chan struct{} // closed with the next line
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

// close returns when all that processes have printed is kept. All must have ended.
func (l *processLog) close() {
	l.writer.Close()
	_ = l.reader.SetReadDeadline(time.Now().Add(maxClose))
	<-l.done
	l.reader.Close()
}

// mark is the place behind the last line.
func (l *processLog) mark() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.lines)
}

// end notes that a process has ended.
func (l *processLog) end(p *process) { fmt.Fprintln(l.writer, p.lastLine()) }

// await returns the first line from a mark on that holds one of the texts. It gives up at the end of ctx, after
// maxAwait, or when p, which should log it, has ended.
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
		return "", fmt.Errorf("process %d (%s) has not logged %q; the last words: %s", p.Pid, p.fate(), texts,
			strings.Join(lines[max(from, len(lines)-tailLines):], "; "))
	}
}

// look returns the first line from a mark on that holds the text, if there is one by now.
func (l *processLog) look(from int, text string) (string, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return find(l.lines[from:], []string{text})
}

// find returns the first line that holds one of the texts.
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
