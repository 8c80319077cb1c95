//go:build !faultinjection

package faultinjection

import (
	"context"
	"time"
)

// Inject returns the error with which the operation must fail now; nil = it must not fail.
func Inject(Op) error { return nil }

// Wait delays an operation by the time that the soak test has set. It returns an error only if ctx ends before that.
func Wait(context.Context, Op) error { return nil }

// Wall returns the time of the process's wall clock.
func Wall() time.Time { return time.Now() }
