package main

import (
	"bufio"
	"context"
	_ "embed" // for headers.txt
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

// turn is one client attempt of a turn, or of a plain request if it has no program.
type turn struct {
	path, id, program, previous, input string
	budget, most                       int
	deadline                           time.Duration
	// aim is what is left of the program's time.
	aim time.Duration
}

// result is what the client saw.
type result struct {
	status     int
	body       string
	retryAfter time.Duration
	// whole says that the answer ended as complete.
	whole bool
	err   error
}

// further holds the headers of a turn that platform/fake does not set. The platform's names stay out
// of Go sources outside platform/ (platform/names_test.go).
//
//go:embed headers.txt
var further string

// setFurther sets these headers. aim is what is left of the program's time.
func setFurther(h http.Header, aim time.Duration) error {
	text := strings.ReplaceAll(further, "{aim}", strconv.FormatInt(aim.Milliseconds(), 10))
	more, err := textproto.NewReader(bufio.NewReader(strings.NewReader(text))).ReadMIMEHeader()
	maps.Copy(h, http.Header(more))
	return err
}

// events returns the number of whole events in a stream.
func (r result) events() int { return strings.Count(r.body, "\n\n") }

var attempts atomic.Int64

// nextID returns a new id of a client attempt.
func nextID() string { return fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(attempts.Add(1))) }

// send sends one client attempt on a new channel to a gate and reads the answer.
func (d *deployment) send(g *host, t turn) result {
	ctx, cancel := context.WithTimeout(context.Background(), t.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.addr(frontendPort)+t.path+"2f", strings.NewReader(t.input))
	if err != nil {
		return result{err: err}
	}
	r.Host, r.GetBody, r.Close = routeHost, nil, true // never sent again by the HTTP client itself
	fake.Request{
		ID: t.id, Program: t.program, Previous: t.previous, Session: t.program + "0", Budget: t.budget, PromptTokens: 1 + len(t.input)/2,
		MaxTokens: t.most, Timeout: t.deadline,
	}.SetHeaders(r.Header)
	if err := setFurther(r.Header, t.aim); err != nil {
		return result{err: err}
	}
	client := http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}}
	d.record.sent(g.name, t)
	a, err := client.Do(r)
	if err != nil {
		d.record.answered(t.id, result{err: err})
		return result{err: err}
	}
	defer func() { _ = a.Body.Close() }() // it has been read
	body, err := io.ReadAll(io.LimitReader(a.Body, 1<<20))
	seconds, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	s := result{status: a.StatusCode, body: string(body), retryAfter: time.Duration(seconds * float64(time.Second)), whole: err == nil, err: err}
	d.record.answered(t.id, s)
	return s
}
