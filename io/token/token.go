// Package token authenticates callers, operators, endpoints and peers by bearer tokens from files.
//
// A file has one "NAME TOKEN" per line; empty lines and lines that start with # are ignored. The name of a caller's token is
// the caller's workspace.
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

// minTokenBytes is the minimum length of a token.
const minTokenBytes = 16

// entry is one token of a list. Check compares digests instead of tokens, so that the time of a comparison depends neither on
// the length nor on the content of the token.
type entry struct {
	name   string
	digest [sha256.Size]byte
}

// List holds the tokens of one kind of client. A nil list accepts requests without a token.
type List struct {
	entries     []entry
	firstSecret string
}

// Read parses a token file, which must hold at least one token.
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
		if len(fields) != 2 || len(fields[1]) < minTokenBytes {
			return nil, fmt.Errorf("%s:%d: want NAME TOKEN, with a token of at least %d characters", file, n, minTokenBytes)
		}
		l.add(fields[0], fields[1])
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(l.entries) == 0 {
		return nil, fmt.Errorf("%s: file contains no token", file)
	}
	return l, nil
}

func (l *List) add(name, secret string) {
	if len(l.entries) == 0 {
		l.firstSecret = secret
	}
	l.entries = append(l.entries, entry{name: name, digest: sha256.Sum256([]byte(secret))})
}

// Header returns the Authorization header with the list's first token, which this host sends to other hosts; nil for a nil list.
func (l *List) Header() http.Header {
	if l == nil {
		return nil
	}
	return http.Header{"Authorization": {"Bearer " + l.firstSecret}}
}

// Check returns the name of a request's token and whether the list contains the token. Check compares with all tokens of the
// list, so that its duration does not depend on which token matches. A nil list accepts every request, with an empty name.
func (l *List) Check(r *http.Request) (string, bool) {
	if l == nil {
		return "", true
	}
	digest := sha256.Sum256([]byte(requestSecret(r)))
	name, found := "", false
	for _, e := range l.entries {
		if subtle.ConstantTimeCompare(e.digest[:], digest[:]) == 1 {
			name, found = e.name, true
		}
	}
	return name, found
}

// requestSecret returns a request's token: the bearer token or, for browsers, the password of HTTP basic authentication.
func requestSecret(r *http.Request) string {
	if _, password, ok := r.BasicAuth(); ok {
		return password
	}
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return secret
}

// Set holds a token list for each kind of client.
type Set struct {
	Callers   *List
	Operators *List
	Endpoints *List
	Peers     *List
}

// Complete reports whether every kind of client has a list.
func (s Set) Complete() bool {
	return s.Callers != nil && s.Operators != nil && s.Endpoints != nil && s.Peers != nil
}

// Empty reports whether no kind of client has a list.
func (s Set) Empty() bool { return s == Set{} }

// ForPath returns the list that requests to a path are checked against. No path uses the list Peers, because other hosts connect
// to the peer address.
func (s Set) ForPath(path string) *List {
	switch {
	case strings.HasPrefix(path, "/admin/"), strings.HasPrefix(path, "/metrics"):
		return s.Operators
	case strings.HasPrefix(path, "/v1/endpoints"):
		return s.Endpoints
	}
	return s.Callers
}
