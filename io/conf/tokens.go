package conf

import (
	"net/netip"

	"shallotgap/io/token"
)

// tokens reads the token files named in section [tokens].
func (r *reader) tokens() token.Set {
	return token.Set{
		Callers:   r.tokenFile("callers"),
		Operators: r.tokenFile("operators"),
		Endpoints: r.tokenFile("endpoints"),
		Peers:     r.tokenFile("peers"),
	}
}

func (r *reader) tokenFile(key string) *token.List {
	name := r.file.Section("tokens").Key(key).String()
	if name == "" {
		return nil
	}
	list, err := token.Read(name)
	if err != nil {
		r.fail("tokens", key, err.Error())
	}
	return list
}

// checkTokens requires tokens for either all kinds of clients or none, and without tokens allows only loopback addresses.
func (r *reader) checkTokens(s Settings) {
	if !s.Tokens.Empty() && !s.Tokens.Complete() {
		r.fail("tokens", "callers", "set callers, operators, endpoints and peers, or none of them")
	}
	if !s.Tokens.Empty() {
		return
	}
	self := s.Self()
	for key, text := range map[string]string{"listen": self.Listen, "peer": self.Peer} {
		a, err := netip.ParseAddrPort(text)
		if err == nil && !a.Addr().IsLoopback() {
			r.fail("host."+string(self.Name), key, "only a loopback address is allowed without [tokens]")
		}
	}
}
