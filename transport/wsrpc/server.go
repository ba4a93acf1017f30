package wsrpc

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/memory"
)

// copies is how often a message is held until it has been answered: decoded, and encoded as what is
// written to disk.
const copies = 2

// HandleFunc processes a message and calls answer once, now or later, from any
// goroutine, with nil if there is no answer. It must not block.
type HandleFunc func(m vaults.Message, answer func(vaults.Message))

// NewHandler returns an HTTP handler that serves client connections until ctx ends. What it
// receives is booked in messages until it has been answered, and what it sends until it is sent.
func NewHandler(ctx context.Context, handle HandleFunc, messages Messages, log zerolog.Logger) http.Handler {
	r := chi.NewRouter()
	r.Get(path, func(w http.ResponseWriter, r *http.Request) {
		socket, err := websocket.Accept(w, r, nil)
		if err != nil {
			log.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("connection refused")
			return
		}
		socket.SetReadLimit(maxMessageBytes)
		peer, _, _ := net.SplitHostPort(r.RemoteAddr) // "" is as good
		s := &session{socket: socket, peer: peer, messages: messages, log: log, out: make(chan outgoing, maxQueuedMessages)}
		if s.sending = messages.open(peer, func() {}); s.sending != nil {
			s.sending.Enter(time.Now(), memory.Serving)
			defer s.sending.Close()
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		s.serve(ctx, handle)
	})
	return r
}

// session is one connection of a client.
type session struct {
	socket   *websocket.Conn
	peer     string
	messages Messages
	log      zerolog.Logger
	out      chan outgoing
	// sending is where the answers that wait to be sent are booked, nil if there is no bound.
	sending *memory.Holder
}

// serve handles the client's messages until the connection ends.
func (s *session) serve(ctx context.Context, handle HandleFunc) {
	defer func() { _ = s.socket.CloseNow() }() // reading has ended
	go s.write(ctx)
	for {
		i, err := s.messages.receive(ctx, s.socket, s.peer)
		noRoom := errors.Is(err, errNoRoom)
		if err != nil && !noRoom || len(i.data) < numberBytes+1 {
			return
		}
		number := binary.LittleEndian.Uint64(i.data)
		if noRoom || !i.take(copies*len(i.data)) {
			s.decline(ctx, number, i)
			continue
		}
		m, err := vaults.Decode(i.data[numberBytes:])
		if err != nil {
			i.release()
			s.log.Warn().Err(err).Msg("unreadable message; connection closed")
			return
		}
		i.give(cap(i.data))
		i.data = nil // what was decoded is booked
		handle(m, func(answer vaults.Message) {
			defer i.release()
			s.send(ctx, number, answer)
		})
	}
}

// decline answers a message for which there is no room, if its sender waits for that.
func (s *session) decline(ctx context.Context, number uint64, i *incoming) {
	defer i.release()
	s.log.Debug().Str("peer", s.peer).Msg("message declined: no room")
	s.send(ctx, number, vaults.Decline(i.data[numberBytes]))
}

// send queues an answer.
func (s *session) send(ctx context.Context, number uint64, answer vaults.Message) {
	if answer == nil || ctx.Err() != nil {
		return
	}
	data, err := vaults.Encode(answer)
	if err != nil {
		s.log.Error().Err(err).Msg("answer not encoded")
		return
	}
	if s.sending != nil && !s.sending.Take(time.Now(), int64(len(data))) {
		if ctx.Err() != nil {
			return // the connection has ended meanwhile
		}
		s.log.Warn().Msg("answer dropped: no room for it")
		return
	}
	select {
	case s.out <- outgoing{number, data}:
		return
	case <-ctx.Done():
	default:
		s.log.Warn().Msg("answer dropped: the peer does not read")
	}
	s.sent(len(data))
}

// sent gives back what was booked for an answer.
func (s *session) sent(n int) {
	if s.sending != nil {
		s.sending.Give(int64(n))
	}
}

// write sends the queued answers.
func (s *session) write(ctx context.Context) {
	for {
		select {
		case o := <-s.out:
			err := o.writeTo(ctx, s.socket)
			s.sent(len(o.data))
			if err != nil {
				_ = s.socket.CloseNow() // this ends the read loop
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
