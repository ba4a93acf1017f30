package whole

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// transport is an http.Transport whose answers are checked like those of a Reader, as far as the parser of
// net/http has kept what they said.
type transport struct{ *http.Transport }

// Transport returns a transport for which an answer with a head that is none in the protocol is an error,
// marked with ErrMalformed.
func Transport(t *http.Transport) http.RoundTripper { return transport{t} }

// RoundTrip sends a request and returns the answer.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response, r.Header.Get("Upgrade") != ""); err != nil {
		_ = response.Body.Close() // ends the connection, unless there is no body
		t.CloseIdleConnections()  // it is idle by now if there is none
		return nil, err
	}
	return response, nil
}

// checkResponse returns an error if a parsed answer is none in the protocol.
func checkResponse(r *http.Response, upgraded bool) error {
	if r.ProtoMajor != 1 {
		return errors.Mark(errors.Newf("whole: version %q", r.Proto), ErrMalformed)
	}
	if err := checkStatus(r.StatusCode, upgraded); err != nil {
		return err
	}
	for name, values := range r.Header {
		for _, v := range values {
			if err := checkField(name, v); err != nil {
				return err
			}
		}
	}
	return nil
}
