package dispatch

// query puts a question to the pool's goroutine, as the event that word makes of where the answer goes, and waits for it; false =
// the pool has stopped.
func query[T any](d *Dispatcher, word func(to chan<- T) event) (answer T, ok bool) {
	to := make(chan T, 1)
	if d.send(word(to)) {
		select {
		case answer = <-to:
			return answer, true
		case <-d.stopped:
		}
	}
	return answer, false
}
