package loadgen

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"time"

	"golang.org/x/sync/errgroup"
)

// workerJob is what a worker process reads from its standard input before it starts.
type workerJob struct {
	Plan    *Plan  `json:"plan"`
	Address string `json:"address"`
	Part    int    `json:"part"`
	Parts   int    `json:"parts"`
}

const (
	readyLine  = "ready"
	startDelay = 50 * time.Millisecond // time from when all workers are ready to the start of the run
)

// RunDistributed sends a checked plan from several processes, one part each, and merges their results. Each command must
// call RunWorker with its standard input and output. When ctx ends, the workers are interrupted and their partial results
// are returned.
func RunDistributed(ctx context.Context, p *Plan, address string, commands []*exec.Cmd) (*Result, error) {
	workers := make([]*worker, len(commands))
	defer func() {
		for _, w := range workers {
			_ = w.kill()
		}
	}()
	for i, cmd := range commands {
		w, err := startWorker(cmd, workerJob{p, address, i, len(commands)})
		if workers[i] = w; err != nil {
			return nil, fmt.Errorf("process %d of the generator: %w", i+1, err)
		}
	}
	for i, w := range workers {
		if line, err := w.stdout.ReadString('\n'); line != readyLine+"\n" {
			return nil, fmt.Errorf("process %d of the generator did not get ready: %w", i+1, errors.Join(err, w.kill()))
		}
	}
	start := time.Now().Add(startDelay)
	for i, w := range workers {
		if err := json.NewEncoder(w.stdin).Encode(start); err != nil {
			return nil, fmt.Errorf("process %d of the generator: %w", i+1, errors.Join(err, w.kill()))
		}
	}
	all, ctx := errgroup.WithContext(ctx) // a failed worker interrupts the others
	context.AfterFunc(ctx, func() {
		for _, w := range workers {
			w.stdin.Close()
		}
	})
	results := make([]*Result, len(workers))
	for i, w := range workers {
		all.Go(func() (err error) {
			if results[i], err = w.result(); err != nil {
				err = fmt.Errorf("process %d of the generator: %w", i+1, err)
			}
			return err
		})
	}
	if err := all.Wait(); err != nil {
		return nil, err
	}
	return Merge(results...)
}

// worker is one process of RunDistributed.
type worker struct {
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stdout *bufio.Reader
}

func startWorker(cmd *exec.Cmd, j workerJob) (*worker, error) {
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w := &worker{cmd, stdin, bufio.NewReader(stdout)}
	return w, json.NewEncoder(stdin).Encode(j)
}

// result waits for the result of the worker's part and the end of its process.
func (w *worker) result() (*Result, error) {
	r := &Result{}
	err := json.NewDecoder(w.stdout).Decode(r)
	w.stdin.Close()
	return r, errors.Join(err, w.cmd.Wait())
}

// kill kills the process if it is still running, and returns its exit error, or nil if it had exited before.
func (w *worker) kill() error {
	if w == nil || w.cmd.ProcessState != nil {
		return nil
	}
	w.cmd.Process.Kill()
	return w.cmd.Wait()
}

// RunWorker runs one worker of RunDistributed on its standard input and output. It sends no further requests when its
// input or ctx ends.
func RunWorker(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d := json.NewDecoder(in)
	var j workerJob
	var start time.Time
	if err := d.Decode(&j); err != nil {
		return fmt.Errorf("read the job: %w", err)
	}
	if _, err := fmt.Fprintln(out, readyLine); err != nil {
		return err
	}
	if err := d.Decode(&start); err != nil {
		return fmt.Errorf("read the start time: %w", err)
	}
	go func() {
		_, _ = io.Copy(io.Discard, in)
		stop()
	}()
	start = time.Now().Add(time.Until(start)) // converts the start to this process's monotonic clock
	r, err := Run(ctx, j.Plan, Options{Address: j.Address, Start: start, Part: j.Part, Parts: j.Parts})
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(r)
}
