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

// The version of the form. Fields may be added under a higher minor version, which older programs skip; all other
// changes take a higher major one, which they refuse.
const (
	Major = 1
	Minor = 0
)

// DefaultMaxBytes bounds an encoded snapshot.
const DefaultMaxBytes = 4 << 20

// The header: magic, major and minor version, length of the payload, wall time in Unix ms, checksum of all that is
// before it and of the payload. Numbers are big-endian.
const (
	magic          = "\x89PRSNAP\n" // no text begins like this, and a transfer as text would alter it
	majorOffset    = len(magic)
	minorOffset    = majorOffset + 2
	lengthOffset   = minorOffset + 2
	takenAtOffset  = lengthOffset + 4
	checksumOffset = takenAtOffset + 8
	headerSize     = checksumOffset + 4
)

// Errors of Decode and Encode, wrapped. A field at fault is a *FieldError.
var (
	ErrNotSnapshot = errors.New("not a snapshot")
	ErrVersion     = errors.New("another major version")
	ErrCutShort    = errors.New("cut short")
	ErrChecksum    = errors.New("checksum wrong")
	ErrTooLarge    = errors.New("too large")
)

// FieldError names a field that is malformed.
type FieldError struct {
	Field   string // as in Members[3].Address
	Problem string
}

func (e *FieldError) Error() string { return "snapshot: " + e.Field + ": " + e.Problem }

// Limits of the decoder, before those of each list: even an array of the smallest elements stays a small multiple of
// its input in memory.
const (
	maxElements   = 16384
	maxPairs      = 1024
	maxNesting    = 16
	minTallyBytes = 5 // bytes: the head of an array and four numbers
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

// Encode returns the snapshot's file, which has at most maxBytes (0 = DefaultMaxBytes); a larger one is
// ErrTooLarge. What Decode would refuse is refused here. It is safe for concurrent use, like Decode.
func Encode(s *Snapshot, maxBytes int) ([]byte, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	maxBytes = orDefault(maxBytes)
	b := bytes.NewBuffer(make([]byte, headerSize, min(maxBytes, s.usualSize())))
	if err := encoder.MarshalToBuffer(s, b); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if b.Len() > maxBytes {
		return nil, fmt.Errorf("snapshot: %w: %d bytes, the limit is %d", ErrTooLarge, b.Len(), maxBytes)
	}
	writeHeader(b.Bytes(), Major, Minor, s.TakenAt.UnixMilli())
	return b.Bytes(), nil
}

// usualSize is what a snapshot usually takes: a large one must not be copied again and again as it grows.
func (s *Snapshot) usualSize() int {
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

// writeHeader fills in the header of b, whose payload is in place.
func writeHeader(b []byte, major, minor uint16, taken int64) {
	copy(b, magic)
	binary.BigEndian.PutUint16(b[majorOffset:], major)
	binary.BigEndian.PutUint16(b[minorOffset:], minor)
	binary.BigEndian.PutUint32(b[lengthOffset:], uint32(len(b)-headerSize))
	binary.BigEndian.PutUint64(b[takenAtOffset:], uint64(taken))
	binary.BigEndian.PutUint32(b[checksumOffset:], checksum(b))
}

// checksum is that of all but itself. CRC-32C finds every change of up to 32 bits in a row.
func checksum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:checksumOffset], castagnoli), castagnoli, b[headerSize:])
}

// Decode reads what Encode made. It holds nothing of b, never panics, and takes no more memory than a small multiple of
// b's length; to bound that is up to the caller.
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
		return nil, fmt.Errorf("%w: %d bytes, the header has %d", ErrCutShort, len(b), headerSize)
	}
	if major := binary.BigEndian.Uint16(b[majorOffset:]); major != Major {
		return nil, fmt.Errorf("%w: %d, this program reads %d", ErrVersion, major, Major)
	}
	payload, length := b[headerSize:], int64(binary.BigEndian.Uint32(b[lengthOffset:]))
	if int64(len(payload)) < length {
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrCutShort, len(payload), length)
	}
	if checksum(b) != binary.BigEndian.Uint32(b[checksumOffset:]) { // of all that follows the header, were it too long
		return nil, ErrChecksum
	}
	return payload, nil
}

// UnmarshalCBOR refuses a list that claims more elements than its bytes can hold, before there is room made for them:
// the decoder looks at what each one is only afterwards, and a list for every server adds up.
func (t *Tallies) UnmarshalCBOR(b []byte) error {
	if n := arrayLength(b); n > uint64(len(b)/minTallyBytes) {
		return &FieldError{"Learned.Servers.Outcomes", fmt.Sprintf("%d of them in %d bytes", n, len(b))}
	}
	if err := decoder.Unmarshal(b, (*[]Tally)(t)); err != nil {
		*t = nil // the decoder goes on to the next list, whatever this one was
		return &FieldError{"Learned.Servers.Outcomes", err.Error()}
	}
	return nil
}

// arrayLength reads the head of a well-formed array (RFC 8949, section 3); what is no array has none.
func arrayLength(b []byte) (n uint64) {
	if b[0]>>5 != 4 {
		return 0
	}
	more := b[0] & 0x1f // below 24 the number itself, else that of the bytes that it has, as a power of two
	if more < 24 {
		return uint64(more)
	}
	for _, digit := range b[1 : 1+1<<(more-24)] {
		n = n<<8 | uint64(digit)
	}
	return n
}

// fieldError names the field of Snapshot that the decoder stumbled over, where it tells: it does so by the key.
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
