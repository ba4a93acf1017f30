package wsrpc

import (
	"context"
	"encoding/binary"
	"net/http"

	"github.com/coder/websocket"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

// HandleFunc processes a message and calls answer once, now or later, from any
// goroutine. It must not block.
type HandleFunc func(m vaults.Message, answer func(vaults.Message))

// NewHandler returns an HTTP handler that serves client connections until ctx ends.
func NewHandler(ctx context.Context, handle HandleFunc, log zerolog.Logger) http.Handler {
	r := chi.NewRouter()
	r.Get(path, func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			log.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("connection refused")
			return
		}
		conn.SetReadLimit(maxMessageBytes)
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		serveConn(ctx, conn, handle, log)
	})
	return r
}

func serveConn(ctx context.Context, conn *websocket.Conn, handle HandleFunc, log zerolog.Logger) {
	defer func() { _ = conn.CloseNow() }() // reading has ended
	out := make(chan []byte, maxQueuedMessages)
	go func() {
		for {
			select {
			case data := <-out:
				if conn.Write(ctx, websocket.MessageBinary, data) != nil {
					_ = conn.CloseNow() // this ends the read loop
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		_, data, err := conn.Read(ctx)
		if err != nil || len(data) < numberBytes {
			return
		}
		m, err := vaults.Decode(data[numberBytes:])
		if err != nil {
			log.Warn().Err(err).Msg("unreadable message; connection closed")
			return
		}
		number := binary.LittleEndian.Uint64(data)
		handle(m, func(answer vaults.Message) {
			encoded, err := vaults.Encode(answer)
			if err != nil {
				log.Error().Err(err).Msg("answer not encoded")
				return
			}
			select {
			case out <- prependNumber(number, encoded):
			case <-ctx.Done():
			default:
				log.Warn().Msg("answer dropped: the peer does not read")
			}
		})
	}
}
