package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

const (
	usedIDGeneration = 30 * time.Second       // ids are remembered for one to two generations
	maxUsedIDs       = 16 << 10               // in a generation, which is over early when it is full
	usedIDMargin     = 200 * time.Millisecond // before servers forget an id: for the way there, and a hold-up of 0.15 s
	usedIDPrefix     = "\x01"                 // of a used id among the ids that a successor gets: no client's id has it
)

// idHash stands for a client's id, which may be long.
type idHash [16]byte

func hashID(id string) (h idHash) {
	sum := sha256.Sum256([]byte(id))
	copy(h[:], sum[:])
	return h
}

// usedIDs remembers the ids of requests that may have run and must not run again, in bounded memory: clients may send an id once
// more after they have left, or to the successor of this process.
type usedIDs struct {
	current, previous map[idHash]time.Time // when the request was sent; zero = unknown, by a predecessor
	startedAt         time.Time            // of the current generation
}

// add remembers an id, and reports whether it was not remembered yet: the time of the first request counts.
func (u *usedIDs) add(h idHash, sentAt, now time.Time) (added bool) {
	if _, found := u.find(h, now); found {
		return false
	}
	if u.current == nil || len(u.current) >= maxUsedIDs {
		u.previous, u.current, u.startedAt = u.current, map[idHash]time.Time{}, now
	}
	u.current[h] = sentAt
	return true
}

func (u *usedIDs) remove(h idHash) {
	delete(u.current, h)
	delete(u.previous, h)
}

// find returns when the request with the id was sent, if the id is remembered.
func (u *usedIDs) find(h idHash, now time.Time) (sentAt time.Time, found bool) {
	u.expire(now)
	if sentAt, found = u.current[h]; !found {
		sentAt, found = u.previous[h]
	}
	return sentAt, found
}

// expire forgets the ids whose time is over.
func (u *usedIDs) expire(now time.Time) {
	switch age := now.Sub(u.startedAt); {
	case age >= 2*usedIDGeneration:
		u.previous, u.current, u.startedAt = nil, nil, now
	case age >= usedIDGeneration:
		u.previous, u.current, u.startedAt = u.current, nil, now
	}
}

// lines returns the remembered ids as they are sent to a successor.
func (u *usedIDs) lines() (out []string) {
	for _, generation := range []map[idHash]time.Time{u.previous, u.current} {
		for h := range generation {
			out = append(out, usedIDLine(h))
		}
	}
	return out
}

func usedIDLine(h idHash) string { return usedIDPrefix + hex.EncodeToString(h[:]) }

// parseUsedIDLine returns the id of a line that usedIDLine has made; ok is false for any other.
func parseUsedIDLine(line string) (h idHash, ok bool) {
	text, found := strings.CutPrefix(line, usedIDPrefix)
	raw, err := hex.DecodeString(text)
	if !found || err != nil || len(raw) != len(h) {
		return h, false
	}
	copy(h[:], raw)
	return h, true
}
