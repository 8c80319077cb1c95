package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"reflect"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version of the format. A higher minor version may add fields, which older programs skip. All other changes require a
// higher major version, which older programs reject.
const (
	Major = 1
	Minor = 0
)

// DefaultMaxBytes is the default bound on the size of an encoded snapshot.
const DefaultMaxBytes = 4 << 20

// Layout of the header: magic, major and minor version, length of the payload, wall clock time in Unix ms, checksum over the
// preceding header fields and the payload. Numbers are big-endian.
const (
	magic          = "\x89PRSNAP\n" // not the start of any text, and altered by a transfer in text mode
	majorOffset    = len(magic)
	minorOffset    = majorOffset + 2
	lengthOffset   = minorOffset + 2
	takenAtOffset  = lengthOffset + 4
	checksumOffset = takenAtOffset + 8
	headerSize     = checksumOffset + 4
)

// Errors of Decode and Encode, which wrap them. An invalid field is reported as a *FieldError.
var (
	ErrNotSnapshot = errors.New("not a snapshot")
	ErrVersion     = errors.New("unsupported major version")
	ErrTruncated   = errors.New("file is truncated")
	ErrChecksum    = errors.New("checksum mismatch")
	ErrTooLarge    = errors.New("too large")
)

// FieldError reports a field with an invalid value.
type FieldError struct {
	Field   string // path of the field, such as Members[3].Address
	Problem string
}

func (e *FieldError) Error() string { return "snapshot: " + e.Field + ": " + e.Problem }

// Limits of the decoder, which apply before the checks of each list. They keep the memory for a decoded array to a small
// multiple of its encoded size, even if it consists of the smallest elements.
const (
	maxElements   = 16384 // of an array
	maxPairs      = 1024  // of a map
	maxNesting    = 16    // levels of arrays and maps
	minTallyBytes = 5     // of the smallest Tally: header of an array and four numbers of 1 byte each
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encoder    = must(cbor.EncOptions{
		ShortestFloat: cbor.ShortestFloat16, NaNConvert: cbor.NaNConvertReject,
		InfConvert: cbor.InfConvertReject, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.UserBufferEncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: maxNesting, MaxArrayElements: maxElements,
		MaxMapPairs: maxPairs,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the contents of the snapshot's file. It returns ErrTooLarge if they exceed maxBytes (0 = DefaultMaxBytes),
// and a *FieldError for values that Decode would reject. Encode and Decode are safe for concurrent use.
func Encode(s *Snapshot, maxBytes int) ([]byte, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	maxBytes = orDefault(maxBytes)
	b := bytes.NewBuffer(make([]byte, headerSize, min(maxBytes, s.estimatedSize())))
	if err := encoder.MarshalToBuffer(s, b); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if b.Len() > maxBytes {
		return nil, fmt.Errorf("snapshot: %w: %d bytes, the limit is %d", ErrTooLarge, b.Len(), maxBytes)
	}
	writeHeader(b.Bytes(), Major, Minor, s.TakenAt.UnixMilli())
	return b.Bytes(), nil
}

// estimatedSize returns an estimate of the encoded size, so that the buffer of a large snapshot is not reallocated repeatedly.
func (s *Snapshot) estimatedSize() int {
	n := 1024 + len(s.Keepalive) + 96*len(s.Members) + 20*len(s.Learned.Tenants)
	for i := range s.Learned.Servers {
		n += 80 + 32*len(s.Learned.Servers[i].Outcomes)
	}
	return n
}

func orDefault(maxBytes int) int {
	if maxBytes <= 0 {
		return DefaultMaxBytes
	}
	return maxBytes
}

// writeHeader writes the header of b, whose payload must be in place.
func writeHeader(b []byte, major, minor uint16, taken int64) {
	copy(b, magic)
	binary.BigEndian.PutUint16(b[majorOffset:], major)
	binary.BigEndian.PutUint16(b[minorOffset:], minor)
	binary.BigEndian.PutUint32(b[lengthOffset:], uint32(len(b)-headerSize))
	binary.BigEndian.PutUint64(b[takenAtOffset:], uint64(taken))
	binary.BigEndian.PutUint32(b[checksumOffset:], checksum(b))
}

// checksum returns the CRC-32C of b without the checksum field. It detects every burst error of up to 32 bits.
func checksum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:checksumOffset], castagnoli), castagnoli, b[headerSize:])
}

// Decode decodes a result of Encode. It keeps no reference to b, never panics, and uses memory of at most a small multiple
// of len(b), which the caller has to bound.
func Decode(b []byte) (*Snapshot, error) {
	payload, err := openPayload(b)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s := new(Snapshot)
	if err := decoder.Unmarshal(payload, s); err != nil {
		return nil, fieldError(err)
	}
	s.TakenAt = time.UnixMilli(int64(binary.BigEndian.Uint64(b[takenAtOffset:])))
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// openPayload checks the header and returns the payload.
func openPayload(b []byte) ([]byte, error) {
	if n := min(len(b), len(magic)); string(b[:n]) != magic[:n] {
		return nil, ErrNotSnapshot
	}
	if len(b) < headerSize {
		return nil, fmt.Errorf("%w: %d bytes, the header has %d", ErrTruncated, len(b), headerSize)
	}
	if major := binary.BigEndian.Uint16(b[majorOffset:]); major != Major {
		return nil, fmt.Errorf("%w: %d, this program reads %d", ErrVersion, major, Major)
	}
	payload, length := b[headerSize:], int64(binary.BigEndian.Uint32(b[lengthOffset:]))
	if int64(len(payload)) < length {
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrTruncated, len(payload), length)
	}
	if checksum(b) != binary.BigEndian.Uint32(b[checksumOffset:]) { // covers all bytes after the header, excess ones too
		return nil, ErrChecksum
	}
	return payload, nil
}

// UnmarshalCBOR rejects a list whose header states more elements than its bytes can hold, before memory for them is
// allocated. The decoder checks the elements only after that, and there is one such list per server.
func (t *Tallies) UnmarshalCBOR(b []byte) error {
	if n := arrayLength(b); n > uint64(len(b)/minTallyBytes) {
		return &FieldError{"Learned.Servers.Outcomes", fmt.Sprintf("%d elements in %d bytes", n, len(b))}
	}
	if err := decoder.Unmarshal(b, (*[]Tally)(t)); err != nil {
		*t = nil // the decoder continues with the next list after an error
		return &FieldError{"Learned.Servers.Outcomes", err.Error()}
	}
	return nil
}

// arrayLength returns the length in the header of a well-formed array (RFC 8949, section 3); 0 for any other item.
func arrayLength(b []byte) (n uint64) {
	if b[0]>>5 != 4 {
		return 0
	}
	info := b[0] & 0x1f // below 24 the length itself, else 24 + log2 of the number of bytes that encode the length
	if info < 24 {
		return uint64(info)
	}
	for _, next := range b[1 : 1+1<<(info-24)] {
		n = n<<8 | uint64(next)
	}
	return n
}

// fieldError converts an error of the decoder to a *FieldError. It derives the field of Snapshot from the key in the error,
// if there is one.
func fieldError(err error) error {
	var field *FieldError
	if errors.As(err, &field) {
		return field
	}
	var mismatch *cbor.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		key := mismatch.StructFieldName[strings.LastIndexByte(mismatch.StructFieldName, '.')+1:]
		for _, f := range reflect.VisibleFields(reflect.TypeFor[Snapshot]()) {
			if k, _, _ := strings.Cut(f.Tag.Get("cbor"), ","); k == key {
				return &FieldError{f.Name, err.Error()}
			}
		}
	}
	return &FieldError{"payload", err.Error()}
}
