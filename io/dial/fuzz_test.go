package dial_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"shallotgap/io/dial"
)

// Whatever prefix of a true answer an endpoint sends before its connection ends, the caller never gets an answer that looks whole and is not.
func FuzzCutAnswer(f *testing.F) {
	for form := range uint8(4) {
		for _, cut := range []uint16{0, 5, 17, 40, 60, 90, 400} {
			f.Add(form, cut, "abcdefgh", "X-Any: 1")
		}
	}
	f.Add(uint8(1), uint16(74), "", "Trailer: X-Sum")
	f.Fuzz(func(t *testing.T, form uint8, cut uint16, body, field string) {
		if strings.ContainsAny(field, "\r\n") || !strings.Contains(field, ": ") || len(body) > 1<<12 {
			return
		}
		head := "HTTP/1.1 200 OK\r\n" + field + "\r\n"
		var all string
		switch form % 4 {
		case 0:
			all = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		case 1:
			all = head + "Transfer-Encoding: chunked\r\n\r\n"
			for part := body; part != ""; {
				n := min(len(part), 3)
				all += fmt.Sprintf("%x\r\n%s\r\n", n, part[:n])
				part = part[n:]
			}
			all += "0\r\n\r\n"
		case 2:
			all = "HTTP/1.1 100 Continue\r\n\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		case 3:
			all = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		whole, wholeErr := cutExchange(t, all)
		if wholeErr != nil || whole != body {
			return // a field that changes the framing
		}
		sent := all[:min(int(cut), len(all))]
		got, err := cutExchange(t, sent)
		if err == nil && (got != body || len(sent) < len(all)) {
			t.Fatalf("%d of %d bytes look like a whole answer with the body %q", len(sent), len(all), got)
		}
	})
}

// cutExchange sends a request to an endpoint that writes some bytes and closes its connection. It returns the body of an answer that looks whole.
func cutExchange(t *testing.T, answer string) (string, error) {
	t.Helper()
	ours, theirs := net.Pipe()
	c := dial.New(dial.Config{Open: func(context.Context, string, string) (net.Conn, error) { return ours, nil }})
	go func() {
		defer func() { _ = theirs.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
			_, _ = io.WriteString(theirs, answer)
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, dial.Request{ID: "1", Key: "k", Address: "e", Method: http.MethodPost, Target: "/", Host: "h"})
	if err != nil {
		return "", err
	}
	defer resp.Abort()
	body, err := io.ReadAll(resp)
	if err == nil && !resp.Complete() {
		err = io.ErrUnexpectedEOF
	}
	return string(body), err
}
