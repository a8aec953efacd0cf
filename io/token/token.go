// Package token tells callers, operators, endpoints and peers by the bearer tokens that files list.
//
// A file holds one "NAME TOKEN" a line; empty lines and those that begin with # are passed over. The name of a
// caller's token is its workspace.
package token

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"os"
	"strings"
)

// minLength is the length of the shortest token that a file may hold, in bytes.
const minLength = 16

// item is one token; only its digest is compared, so that all comparisons take the same time.
type item struct {
	name   string
	digest [sha256.Size]byte
}

// List holds the tokens of one kind of client. A nil list asks for none.
type List struct {
	items []item
	first string
}

// Read returns the tokens of a file.
func Read(file string) (*List, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	l := &List{}
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 || len(fields[1]) < minLength {
			return nil, fmt.Errorf("%s:%d: want NAME TOKEN with at least %d characters", file, n, minLength)
		}
		l.add(fields[0], fields[1])
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(l.items) == 0 {
		return nil, fmt.Errorf("%s: no token", file)
	}
	return l, nil
}

func (l *List) add(name, secret string) {
	if len(l.items) == 0 {
		l.first = secret
	}
	l.items = append(l.items, item{name: name, digest: sha256.Sum256([]byte(secret))})
}

// Header returns the Authorization header by which this host shows the list's first token, or nil without a list.
func (l *List) Header() http.Header {
	if l == nil {
		return nil
	}
	return http.Header{"Authorization": {"Bearer " + l.first}}
}

// Check returns the name of the token that a request bears and whether the list has it. It takes the same time
// whichever token matches. Without a list every request passes, with no name.
func (l *List) Check(r *http.Request) (string, bool) {
	if l == nil {
		return "", true
	}
	digest := sha256.Sum256([]byte(secretOf(r)))
	name, found := "", false
	for _, x := range l.items {
		if subtle.ConstantTimeCompare(x.digest[:], digest[:]) == 1 {
			name, found = x.name, true
		}
	}
	return name, found
}

// secretOf returns the token of a request: a bearer token, or the password that a browser asked its user for.
func secretOf(r *http.Request) string {
	if _, password, ok := r.BasicAuth(); ok {
		return password
	}
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return secret
}

// Set are the lists of all kinds of clients.
type Set struct {
	Callers   *List
	Operators *List
	Endpoints *List
	Peers     *List
}

// Complete reports whether all lists are there.
func (s Set) Complete() bool {
	return s.Callers != nil && s.Operators != nil && s.Endpoints != nil && s.Peers != nil
}

// Empty reports whether no list is there.
func (s Set) Empty() bool { return s == Set{} }

// ForPath returns the list that opens a path.
func (s Set) ForPath(path string) *List {
	switch {
	case strings.HasPrefix(path, "/admin/"), strings.HasPrefix(path, "/metrics"):
		return s.Operators
	case strings.HasPrefix(path, "/v1/endpoints"):
		return s.Endpoints
	}
	return s.Callers
}
