// Package watchpolicy schedules the polls that keep the endpoint list up to date. It decides how long a poll waits for
// changes, when a poll without a response times out, and when the next poll is sent. If evidence from the servers clearly
// contradicts the list, it has the complete list requested at once. It does no I/O and reads no clock.
//
// A watch can fail silently: its responses are lost while the connection stays open. Silence alone does not distinguish a
// failed watch from a source without changes. Therefore each poll asks for a response after a bounded wait even without
// changes, and the Scheduler learns how long after that wait responses usually arrive. A poll whose response is much later
// than usual times out.
package watchpolicy
