package dispatch

// ask puts a question to the pool's goroutine, as the event that word makes of where the answer goes, and waits for it; false =
// the pool has stopped.
func ask[T any](s *Dispatcher, word func(to chan<- T) event) (answer T, ok bool) {
	to := make(chan T, 1)
	if s.send(word(to)) {
		select {
		case answer = <-to:
			return answer, true
		case <-s.stopped:
		}
	}
	return answer, false
}
