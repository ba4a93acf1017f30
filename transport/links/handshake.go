package links

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/transport/keys"
)

// The handshake: who dials is in the request's headers, and the frame version
// is agreed on as the WebSocket subprotocol.
const (
	linkPath       = "/link"
	headerNode     = "X-Node"
	headerCentre   = "X-Centre"
	bearerPrefix   = "Bearer "
	protocolPrefix = "cowslipstage.v"
)

// errVersion means that two nodes speak no frame version in common.
var errVersion = errors.New("links: no frame version in common")

func (l *Links) handshakeHeader() http.Header {
	return http.Header{
		"Authorization": {bearerPrefix + l.options.Keys.Secret()},
		headerNode:      {l.options.Node},
		headerCentre:    {l.options.Centre},
	}
}

// subprotocols names the frame versions spoken, the newest first.
func (l *Links) subprotocols() []string {
	var names []string
	for v := l.options.NewestVersion; v >= l.options.OldestVersion; v-- {
		names = append(names, protocolPrefix+strconv.Itoa(v))
	}
	return names
}

// authenticate returns the node that asks for a link, once it has proved who it is.
func (l *Links) authenticate(r *http.Request) (string, error) {
	node := r.Header.Get(headerNode)
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	switch {
	case node == "" || node == l.options.Node:
		return node, errors.Newf("links: %q is no peer's name", node)
	case !l.options.Keys.Accepts(secret):
		return node, errors.New("links: wrong secret")
	case l.options.Keys.UsesTLS() && !keys.PeerHasName(r.TLS, node):
		return node, errors.New("links: the certificate does not bear the node's name")
	}
	return node, nil
}

// hasCommonVersion tells whether the dialling node offers a version that is spoken here.
func (l *Links) hasCommonVersion(r *http.Request) bool {
	for _, line := range r.Header.Values("Sec-WebSocket-Protocol") {
		for _, offered := range strings.Split(line, ",") {
			for _, own := range l.subprotocols() {
				if strings.TrimSpace(offered) == own {
					return true
				}
			}
		}
	}
	return false
}
