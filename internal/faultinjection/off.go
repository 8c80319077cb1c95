//go:build !faultinjection

package faultinjection

import (
	"context"
	"time"
)

// Inject returns the error with which the operation is to fail now; nil = it is not to.
func Inject(Op) error { return nil }

// Wait delays an operation for as long as the soak says; an error is that of ctx, which has ended before.
func Wait(context.Context, Op) error { return nil }

// Wall reads the wall clock.
func Wall() time.Time { return time.Now() }
