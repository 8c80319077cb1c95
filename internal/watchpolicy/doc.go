// Package watchpolicy decides how the endpoint list is kept fresh: how long a poll may wait for
// changes, when one that remains unanswered is given up, when the next one follows, and when what is seen of the servers contradicts
// the list so clearly that the complete list is requested at once. It does no input or output and reads no clock.
//
// A watch can die silently: its answers are lost on a connection that remains open. Silence alone does not distinguish that from a
// source without changes, so a poll asks to be answered after a bounded wait even then, and the time beyond that wait in which the
// answer usually comes is learned. What is silent for much longer is dead.
package watchpolicy
