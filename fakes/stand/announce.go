package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// announceInterval is the time between two announcements of one endpoint.
const announceInterval = 500 * time.Millisecond

// Announcement is the body of POST /v1/endpoints: an endpoint describes itself to an entry host.
type Announcement struct {
	ID          string `json:"id"`
	Kind        string `json:"kind"`
	URL         string `json:"url"`
	Domain      string `json:"domain"`
	Service     string `json:"service"`
	Slots       int    `json:"slots,omitempty"`
	MaxRunning  int    `json:"max-running"`
	Instance    uint64 `json:"instance"`
	ChecksFence bool   `json:"checks-fence,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
	EchoesID    bool   `json:"echoes-id,omitempty"`
	// Limit is the number of requests a second that the endpoint takes; 0 for no limit.
	Limit float64 `json:"limit,omitempty"`
	// Token is the bearer token that authenticates the endpoint to the entry hosts; empty for no authentication.
	Token string `json:"-"`
}

// Announce posts the endpoint's current announcement at a fixed interval until the context ends. It tries the entry hosts
// in turn. Once an entry host names the endpoint's owner, Announce posts to the owner until a request fails.
func Announce(ctx context.Context, entries []string, current func() Announcement) {
	client := &http.Client{Timeout: 2 * time.Second}
	target := ""
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if target == "" {
			target = entries[attempt%len(entries)]
		}
		target = announceOnce(client, target, current())
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

// announceOnce posts an announcement to target and returns the owner's address, or "" if the request failed or there is
// no owner yet.
func announceOnce(client *http.Client, target string, a Announcement) string {
	body, err := json.Marshal(a)
	if err != nil {
		return ""
	}
	req, err := http.NewRequest(http.MethodPost, target+"/v1/endpoints", bytes.NewReader(body))
	if err != nil {
		return ""
	}
	req.Header.Set("Content-Type", "application/json")
	if a.Token != "" {
		req.Header.Set("Authorization", "Bearer "+a.Token)
	}
	resp, err := client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct {
		Owner string `json:"owner"`
	}
	if json.NewDecoder(resp.Body).Decode(&reply) != nil {
		return ""
	}
	return reply.Owner
}
