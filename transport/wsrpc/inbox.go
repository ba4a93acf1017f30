package wsrpc

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/cowslipstage/cowslipstage/state/memory"
)

const (
	// firstBytes is how much of a message is held at first.
	firstBytes = 2 << 10
	// smallBytes is the size up to which a message counts when it is whole. A connection holds one at
	// a time.
	smallBytes = 64 << 10
	// growthShare is by how much the buffer of a long message grows, as a part of its size.
	growthShare = 4
)

// errNoRoom means that there is no memory for a message now. It has been read and dropped.
var errNoRoom = errors.New("wsrpc: no memory for a message")

// Messages bounds the messages that a process receives and has not dealt with. The zero value has no
// bound. It is safe for concurrent use.
type Messages struct {
	// group is nil if there is no bound.
	group *memory.Group
}

// NewMessages returns the messages that are booked in a budget.
func NewMessages(b *memory.Budget) Messages { return Messages{b.Group(0)} }

// open returns a holder for a peer, nil if there is no bound. end is called if what it holds is
// needed for others.
func (m Messages) open(peer string, end func()) *memory.Holder {
	if m.group == nil {
		return nil
	}
	h, _ := m.group.Open(time.Now(), peer, 0, end) // a group without a bound has room for nothing
	return h
}

// incoming is a message that was received.
type incoming struct {
	data []byte
	// holder is where the message is booked until it is released, nil if there is no bound.
	holder *memory.Holder
}

// take books further bytes for what is made of the message.
func (i *incoming) take(n int) bool { return i.holder == nil || i.holder.Take(time.Now(), int64(n)) }

// give gives bytes back.
func (i *incoming) give(n int) {
	if i.holder != nil {
		i.holder.Give(int64(n))
	}
}

// release gives back what is booked for the message.
func (i *incoming) release() {
	if i.holder != nil {
		i.holder.Close()
	}
}

// receive reads the next message. Of one for which there is no room it returns the beginning, with
// errNoRoom.
func (m Messages) receive(ctx context.Context, socket *websocket.Conn, peer string) (*incoming, error) {
	_, r, err := socket.Reader(ctx)
	if err != nil {
		return nil, err
	}
	i := &incoming{holder: m.open(peer, func() { go func() { _ = socket.CloseNow() }() })}
	if i.holder != nil {
		i.holder.Enter(time.Now(), memory.Reading)
	}
	if err = i.read(r); err == nil || errors.Is(err, errNoRoom) {
		if i.holder != nil && !i.holder.Enter(time.Now(), memory.Serving) && err == nil {
			err = errNoRoom
		}
	}
	if err != nil {
		i.release()
	}
	return i, err
}

// read reads a message to its end.
func (i *incoming) read(r io.Reader) error {
	for {
		if len(i.data) == cap(i.data) {
			if !i.grow() {
				_, err := io.Copy(io.Discard, r)
				return errors.CombineErrors(errNoRoom, err)
			}
		}
		n, err := r.Read(i.data[len(i.data):cap(i.data)])
		i.data = i.data[:len(i.data)+n]
		if i.holder != nil && len(i.data) > smallBytes {
			i.holder.Arrive(time.Now(), n)
		}
		switch {
		case errors.Is(err, io.EOF):
			if len(i.data) <= smallBytes && !i.take(cap(i.data)) {
				return errNoRoom
			}
			return nil
		case err != nil:
			return err
		}
	}
}

// grow makes the buffer larger, and reports whether there is room.
func (i *incoming) grow() bool {
	old := cap(i.data)
	size := max(firstBytes, 2*old)
	if old >= smallBytes {
		size = old + max(old/growthShare, smallBytes)
		if !i.take(size) {
			return false
		}
	}
	i.data = append(make([]byte, 0, size), i.data...)
	if old > smallBytes {
		i.give(old)
	}
	return true
}
