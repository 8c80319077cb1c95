package hotrestart

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// goldenMessages returns one message of each kind, in the order of the stored file.
func goldenMessages(t *testing.T) []message {
	t.Helper()
	encode := func(body any) []byte {
		encoded, err := cbor.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	return []message{
		{kind: kindHello, body: encode(Hello{Version: Version, Name: "n1", Address: "127.0.0.1:3000", State: 7})},
		{kind: kindState, body: []byte("a state")},
		{kind: kindReady, number: 4321},
		{kind: kindReject, body: []byte("the address is another")},
		{kind: kindOpenRequests, body: []byte("r-1\nr-2\n")},
		{kind: kindServe},
		{kind: kindConn, number: 17, body: []byte("a note")},
		{kind: kindConnAccepted, number: 17},
		{kind: kindConnFailed, number: 18, body: []byte("too many open files")},
		{kind: kindComplete},
		{kind: kindStop, body: encode(signalMessage{At: 1_234_567_890_123, Kill: 1_238_267_890_123})},
		{kind: kindReload, body: encode(signalMessage{At: 1_234_567_890_123})},
	}
}

// TestGoldenMessages checks that the messages of a hot restart are encoded as an earlier version encoded them, and that
// the stored encoding is decoded.
func TestGoldenMessages(t *testing.T) {
	stored, err := os.ReadFile(filepath.Join("testdata", "golden_messages.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var written bytes.Buffer
	lines := bytes.Split(bytes.TrimSpace(stored), []byte("\n"))
	messages := goldenMessages(t)
	if len(lines) != len(messages) {
		t.Fatalf("%d stored messages, want %d", len(lines), len(messages))
	}
	for i, want := range messages {
		fmt.Fprintf(&written, "%x\n", want.encode())
		packet, err := hex.DecodeString(string(lines[i]))
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(packet)
		if err != nil {
			t.Errorf("kind %q: %v", want.kind, err)
		}
		if got.kind != want.kind || got.number != want.number || !bytes.Equal(got.body, want.body) {
			t.Errorf("decoded as %+v, want %+v", got, want)
		}
	}
	if diff := cmp.Diff(string(stored), written.String()); diff != "" {
		t.Errorf("the encoding has changed: %s", diff)
	}
}
