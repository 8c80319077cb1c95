package http1

import (
	"bufio"
	"errors"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// recordedMessages reads a file of messages. Each starts with a line "--- VERDICT", which is the expected result; the bytes
// of the message follow. A line end in the file stands for CRLF, but a \ and the line end after it stand for nothing, as in
// the exchange files of cmd/plankrouter.
func recordedMessages(t testing.TB, file string) (verdicts, texts []string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range strings.Split("\n"+strings.TrimSuffix(string(raw), "\n"), "\n--- ")[1:] {
		verdict, text, _ := strings.Cut(part, "\n")
		text = strings.ReplaceAll(text+"\n", "\n", "\r\n")
		verdicts, texts = append(verdicts, verdict), append(texts, strings.ReplaceAll(text, "\\\r\n", ""))
	}
	return verdicts, texts
}

func request(reader *bufio.Reader) (string, error) {
	r, err := ReadRequest(reader)
	if err == nil {
		err = r.ReadBody(reader)
	}
	if err != nil {
		return "", err
	}
	return strings.Join([]string{r.Method, r.Target, string(r.Body)}, " "), nil
}

func response(reader *bufio.Reader) (string, error) {
	r, err := ReadResponse(reader, false, func(bool) {})
	if err != nil {
		return "", err
	}
	return strings.Join([]string{reasonPhrases[r.Status], string(r.Body)}, " "), nil
}

func TestRecordedMessages(t *testing.T) {
	for file, read := range map[string]func(*bufio.Reader) (string, error){
		"testdata/requests.txt": request, "testdata/responses.txt": response,
	} {
		verdicts, texts := recordedMessages(t, file)
		for i, text := range texts {
			got, err := read(NewReader(strings.NewReader(text)))
			switch {
			case errors.Is(err, ErrMalformed):
				got = "malformed"
			case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
				got = "cut short"
			case err != nil:
				got = err.Error()
			}
			if diff := cmp.Diff(verdicts[i], strings.TrimSpace(got)); diff != "" {
				t.Errorf("%s, message %d:\n%q\n%s", file, i+1, text, diff)
			}
		}
	}
}

func TestMessagesBeyondBoundsAreMalformed(t *testing.T) {
	long := strings.Repeat("a", maxLineBytes)
	for name, text := range map[string]string{
		"line":    "GET /" + long + " HTTP/1.1\r\n",
		"header":  "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("A: "+long[:7000]+"\r\n", 5),
		"headers": "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("A: b\r\n", maxHeaderLines),
		"chunks":  "GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+long[:4096]+"\r\n", 17),
	} {
		if _, err := request(NewReader(strings.NewReader(text))); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestEndToEndDropsHopByHopHeaders(t *testing.T) {
	r, err := ReadRequest(NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: x\r\nConnection: X-Hop\r\nX-Hop: 1\r\n" +
		"keep-alive: 5\r\nAccept: image/png\r\nMine: 2\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	got := r.Header.EndToEnd(func(name string) bool { return name == "Mine" })
	if diff := cmp.Diff([]Field{{Name: "Accept", Value: "image/png"}}, got); diff != "" {
		t.Error(diff)
	}
}

// A request that can be read is the same after it was written and read again.
func FuzzRequest(f *testing.F) {
	_, texts := recordedMessages(f, "testdata/requests.txt")
	for _, text := range texts {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := NewReader(strings.NewReader(text))
		r, err := ReadRequest(reader)
		if err != nil || r.ReadBody(reader) != nil {
			return
		}
		again, err := request(NewReader(strings.NewReader(string(
			AppendRequest(nil, r.Method, r.Target, "x", r.Header.EndToEnd(nil), r.Body)))))
		if want := strings.Join([]string{r.Method, r.Target, string(r.Body)}, " "); err != nil || again != want {
			t.Errorf("%q was read again as %q, %v", want, again, err)
		}
	})
}

func FuzzResponse(f *testing.F) {
	_, texts := recordedMessages(f, "testdata/responses.txt")
	for _, text := range texts {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := ReadResponse(NewReader(strings.NewReader(text)), false, func(bool) {})
		if err != nil {
			return
		}
		if len(r.Body) > MaxBody || r.Status < 200 || r.Status > 999 {
			t.Errorf("%d with %d bytes", r.Status, len(r.Body))
		}
	})
}
