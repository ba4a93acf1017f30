package hosts_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/standin/broken"
	"github.com/cowslipstage/cowslipstage/transport/hosts"
)

func client(t *testing.T, status int, body string) *hosts.Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return hosts.New(s.Listener.Addr().String(), 10*time.Second)
}

func TestUnavailableHosts(t *testing.T) {
	g := NewWithT(t)
	c := client(t, http.StatusOK, `{"a":"live","b":"leaving","c":"gone","d":"draining"}`)
	unavailable, err := c.Unavailable(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(unavailable).To(Equal(map[string]string{"b": hosts.Leaving, "c": hosts.Gone, "d": hosts.Leaving}))
}

// Another writer leaves values that are no states. The rest of the list counts all the same.
func TestAnOddValueHidesNoOtherHost(t *testing.T) {
	g := NewWithT(t)
	c := client(t, http.StatusOK, `{"a":"live","b":"gone","n":1e999,"o":{"state":"live"},"l":[["live"]],"z":null}`)
	unavailable, err := c.Unavailable(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(unavailable).To(Equal(map[string]string{"b": hosts.Gone, "n": hosts.Leaving, "o": hosts.Leaving, "l": hosts.Leaving, "z": hosts.Leaving}))
}

func TestUnreadableListIsAnError(t *testing.T) {
	for name, c := range map[string]*hosts.Client{
		"status":    client(t, http.StatusBadGateway, `{}`),
		"garbage":   client(t, http.StatusOK, `[1`),
		"truncated": client(t, http.StatusOK, `{"a":"li`),
		"nobody":    hosts.New("127.0.0.1:1", time.Second),
	} {
		_, err := c.Unavailable(context.Background())
		NewWithT(t).Expect(errors.Is(err, hosts.ErrList)).To(BeTrue(), name)
	}
}

// An answer that is cut or has a head that is none in the protocol is no list.
func TestABrokenAnswerIsNoList(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nA b: x\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\n\r\n{", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{",
	} {
		g := NewWithT(t)
		e, err := broken.Listen(answer, broken.CloseThenReset, 0)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = e.Close() })
		_, err = hosts.New(e.Addr(), 10*time.Second).Unavailable(t.Context())
		g.Expect(errors.Is(err, hosts.ErrList)).To(BeTrue(), "%q: %v", answer, err)
	}
}
