package main

import (
	"context"
	_ "embed" // for headers.txt
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

// further holds the headers of a turn that platform/fake does not set. The platform's names stay out of
// Go files elsewhere.
//
//go:embed headers.txt
var further string

// clientLimit is how long a client waits for one request.
const clientLimit = 4 * time.Second

// turn is what a client sends as one turn of a program.
type turn struct {
	program, previous, words string
	// client is the last byte of the client's address.
	client int
}

// answer is what a client got for one attempt.
type answer struct {
	attempt    string
	status     int
	retryAfter time.Duration
	text       string
	// whole says that the answer came to its end.
	whole bool
	err   error
}

// served reports whether the turn was answered whole.
func (a answer) served() bool { return a.status == http.StatusOK && a.whole }

// promised reports whether the answer promises that the request has not run.
func (a answer) promised() bool {
	return a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// try sends a turn once, on a new channel.
func (d *deployment) try(g *process, t turn, limit time.Duration) answer {
	a := answer{attempt: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/talk/%s", g.ip, frontPort, "2f"), strings.NewReader(t.words))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = fake.RouteHost
	fake.Request{
		ID: a.attempt, Program: t.program, Previous: t.previous, Session: "s-" + t.program, Budget: 2304, PromptTokens: 400, MaxTokens: 77, Timeout: limit,
	}.SetHeaders(r.Header)
	for line := range strings.Lines(further) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		r.Header.Set(name, strings.ReplaceAll(value, "PROGRAM", t.program))
	}
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s%d", d.network, t.client))}}
	client := http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}}
	d.note("client %d sends %s of program %s to %s: %q, previous turn %q", t.client, a.attempt, t.program, g.name, t.words, t.previous)
	response, err := client.Do(r)
	if err != nil {
		a.err = err
	} else {
		defer func() { _ = response.Body.Close() }() // it was read
		text, err := io.ReadAll(response.Body)
		a.status, a.text, a.whole, a.err = response.StatusCode, string(text), err == nil, err
		if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			a.retryAfter = time.Duration(s * float64(time.Second))
		}
	}
	shown := strings.TrimSpace(a.text)
	if a.status == http.StatusOK {
		shown = fmt.Sprintf("%d events", strings.Count(a.text, "data:"))
	}
	d.note("client %d gets for %s: status %d, whole %t, retry after %s, %s %v", t.client, a.attempt, a.status, a.whole, a.retryAfter, shown, errors.Unwrap(a.err))
	return a
}

// request sends a turn as the pages say that clients do: one retry after a promise, once the time
// to come back is over, at most a third of the time that is left; each at another gate.
func (d *deployment) request(first int, t turn) (answers []answer) {
	until := time.Now().Add(clientLimit)
	for n := range 2 {
		a := d.try(d.gates[(first+n)%len(d.gates)], t, time.Until(until))
		answers = append(answers, a)
		if a.served() || !a.promised() {
			break
		}
		time.Sleep(min(a.retryAfter, time.Until(until)/3))
	}
	return answers
}

// turn sends a turn as a program does: again from its start at most twice.
func (d *deployment) turn(first int, t turn) (answers []answer) {
	for n := range 3 {
		answers = append(answers, d.request(first+n, t)...)
		last := answers[len(answers)-1]
		if last.served() || last.status == http.StatusNotFound || last.status == http.StatusPaymentRequired {
			break
		}
		time.Sleep(100*time.Millisecond + time.Duration(rand.IntN(300))*time.Millisecond)
	}
	return answers
}

// served returns the attempt that was answered whole, "" if none was.
func served(answers []answer) string {
	for _, a := range answers {
		if a.served() {
			return a.attempt
		}
	}
	return ""
}
