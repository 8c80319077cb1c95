package discovery

import (
	"errors"
	"fmt"
	"io"

	jsoniter "github.com/json-iterator/go"

	"plankrouter/internal/endpoints"
	"plankrouter/internal/http1"
)

const (
	maxLineBytes  = 4 << 10             // of a line of the list, indented and with the longest names: usual ones take 150 to 400 bytes
	minListBytes  = 1100 * maxLineBytes // that an answer may take, whatever the memory
	memoryDivisor = 8                   // one part in so many of the memory may go into an answer, beside the list in force and the new one
)

var (
	codec      = jsoniter.ConfigCompatibleWithStandardLibrary
	errTooLong = errors.New("list too long")
)

// MaxListBytes returns the longest answer, in bytes, that a process accepts which may use so much memory; 0 = that is not known.
func MaxListBytes(memory int64) int64 { return max(minListBytes, memory/memoryDivisor) }

// readBody reads the whole of an answer.
func readBody(r *http1.Response, maxBytes int64) ([]byte, error) {
	if r.Rest == nil {
		return nil, nil
	}
	if n := r.Rest.Length(); n > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are accepted", errTooLong, n, maxBytes)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Rest, maxBytes+1))
	if err == nil && int64(len(raw)) > maxBytes {
		err = fmt.Errorf("%w: over the %d bytes that are accepted", errTooLong, maxBytes)
	}
	return raw, err
}

// parse reads an answer, and returns with the list what is wrong with the lines that it has skipped, or that contradict each other. An
// answer that is cut off or malformed is an error; in one that is not, a line that can't be read does not hide the others.
func parse(raw []byte) (list endpoints.List, problems []error, err error) {
	if err = codec.Unmarshal(raw, &list); err == nil {
		problems = list.RemoveInvalid()
	} else {
		lines, lineProblems, err := parseLines(raw)
		if err != nil {
			return list, nil, err
		}
		list = lines
		problems = lineProblems
	}
	if list.Complete && list.Endpoints == nil {
		return list, nil, errors.New("members: missing from a complete list")
	}
	return list, append(problems, list.Normalize()...), nil
}

// parseLines reads an answer line by line.
func parseLines(raw []byte) (list endpoints.List, problems []error, err error) {
	var loose struct {
		endpoints.List
		Members []jsoniter.RawMessage `json:"members"`
	}
	if err = codec.Unmarshal(raw, &loose); err != nil {
		return list, nil, err
	}
	list = endpoints.List{Revision: loose.Revision, Complete: loose.Complete, Endpoints: []endpoints.Endpoint{}}
	for i, line := range loose.Members {
		var endpoint endpoints.Endpoint
		err := codec.Unmarshal(line, &endpoint)
		if err == nil {
			err = endpoint.Check()
		}
		if err != nil {
			problems = append(problems, fmt.Errorf("members[%d]: %w", i, err))
			continue
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, problems, nil
}
