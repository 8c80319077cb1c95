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

func (b *processLog) read() {
	defer close(b.done)
	for br := bufio.NewReader(b.reader); ; {
		line, err := br.ReadString('\n')
		if line != "" {
			b.add(strings.TrimSuffix(line, "\n"))
		}
		if err != nil {
			return
		}
	}
}

func (b *processLog) add(line string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fmt.Fprintln(b.file, line)
	b.lines = append(b.lines, line)
	close(b.changed)
	b.changed = make(chan struct{})
}

// close returns when all that processes have printed is kept. All must have ended.
func (b *processLog) close() {
	b.writer.Close()
	_ = b.reader.SetReadDeadline(time.Now().Add(maxClose))
	<-b.done
	b.reader.Close()
}

// mark is the place behind the last line.
func (b *processLog) mark() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.lines)
}

// end notes that a process has ended.
func (b *processLog) end(p *process) { fmt.Fprintln(b.writer, p.lastLine()) }

// await returns the first line from a mark on that holds one of the texts. It gives up at the end of ctx, after
// maxAwait, or when p, which should log it, has ended.
func (b *processLog) await(ctx context.Context, from int, p *process, texts ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAwait)
	defer cancel()
	last := p.lastLine()
	for at := from; ; {
		b.mutex.Lock()
		lines, changed := b.lines, b.changed
		b.mutex.Unlock()
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
func (b *processLog) look(from int, text string) (string, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return find(b.lines[from:], []string{text})
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
