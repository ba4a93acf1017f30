package links

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/transport/keys"
)

// The handshake names the dialling node in the request headers and negotiates
// the frame version as the WebSocket subprotocol.
const (
	linkPath       = "/link"
	headerNode     = "X-Node"
	headerCentre   = "X-Centre"
	bearerPrefix   = "Bearer "
	protocolPrefix = "cowslipstage.v"
)

// errVersion means that two nodes support no common frame version.
var errVersion = errors.New("links: no frame version in common")

func (l *Links) handshakeHeader() http.Header {
	return http.Header{
		"Authorization": {bearerPrefix + l.options.Keys.Secret()},
		headerNode:      {l.options.Node},
		headerCentre:    {l.options.Centre},
	}
}

// subprotocols returns the supported frame versions, newest first.
func (l *Links) subprotocols() []string {
	var names []string
	for v := l.options.NewestVersion; v >= l.options.OldestVersion; v-- {
		names = append(names, protocolPrefix+strconv.Itoa(v))
	}
	return names
}

// authenticate returns the name of the dialling node, or an error if its secret or
// certificate does not prove that name.
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

// hasCommonVersion reports whether the dialling node offers a supported version.
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
