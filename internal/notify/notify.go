// Package notify wakes goroutines that wait on channels.
package notify

// Send wakes the receiver of a channel with a buffer of one, now or when it next receives. It never blocks: if the buffer
// is full, the receiver is woken by the value that is in it. It is safe for concurrent use.
func Send(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
