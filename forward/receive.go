package forward

import (
	"errors"
	"io"

	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/upstream"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

const (
	// firstAnswerBytes is the size of the buffer for an answer of unknown length, which most fit in.
	firstAnswerBytes = 1 << 10
	// uncountedAnswerBytes is the size up to which an answer takes no room of the memory for answers.
	uncountedAnswerBytes = 32 << 10
)

var (
	// errNoMemory means that there is no room for a server's answer.
	errNoMemory = errors.New("no memory for the answer")
	// errNoEnd means that there is no room for more of an answer whose length is not known. It may have no end.
	errNoEnd = errors.New("no memory for more of an answer of unknown length")
)

// receiveBody reads a whole body of at most limit bytes. A large one takes room of the memory for answers until the request ends.
func (f *Forwarder) receiveBody(j *job, res *upstream.Response, limit int64) ([]byte, error) {
	if res.Length > limit {
		return nil, response.ErrTooLarge
	}
	r := &answerReader{memory: f.Memory, body: res.Body, length: max(res.Length, 0), limit: limit}
	body, err := r.read()
	if r.claim == nil {
		return body, err
	}
	if err != nil {
		r.claim.Release()
		return nil, err
	}
	room, ok := r.claim.Complete()
	if !ok {
		return nil, errNoMemory
	}
	j.rooms = append(j.rooms, room)
	return body, nil
}

// returnRooms frees the room of the answers that the request has received.
func (f *Forwarder) returnRooms(j *job) {
	for _, room := range j.rooms {
		f.Memory.Return(room)
	}
	j.rooms = nil
}

// answerReader reads one answer.
type answerReader struct {
	memory *vmmemory.Memory
	body   io.ReadCloser
	// length is that of the body, zero if it is not known in advance.
	length, limit int64
	// claim is the room that the answer takes; nil while it takes none.
	claim *vmmemory.Claim
}

func (r *answerReader) read() ([]byte, error) {
	data := make([]byte, 0, min(max(r.length+1, firstAnswerBytes), uncountedAnswerBytes))
	for {
		if len(data) == cap(data) {
			grown, err := r.grow(data)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		n, err := r.body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if r.claim != nil {
			r.claim.Received(n)
		}
		switch {
		case int64(len(data)) > r.limit:
			return nil, response.ErrTooLarge
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// refused is the error of an answer for which there is no room.
func (r *answerReader) refused() error {
	if r.length == 0 {
		return errNoEnd
	}
	return errNoMemory
}

// reserve reports whether there is room for size bytes in all. An answer that must give way to others is broken off.
func (r *answerReader) reserve(size int64) bool {
	if r.claim == nil {
		r.claim = r.memory.NewClaim(func() { _ = r.body.Close() })
	}
	_, ok := r.claim.Reserve(size, r.length, false)
	return ok
}

// grow returns a copy of data with room for more. One byte beyond the last shows that there is no more.
func (r *answerReader) grow(data []byte) ([]byte, error) {
	size := min(max(2*int64(cap(data)), r.length+1), r.limit+1)
	if size > uncountedAnswerBytes && !r.reserve(size) {
		return nil, r.refused()
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, nil
}
