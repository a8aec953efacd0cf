package scene

import (
	"io"
	"net/http"
)

// sendOnce sends a request and does not follow redirects.
func sendOnce(req *http.Request) answer {
	client := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(req)
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
}

// fetch returns the body of a GET, or "" without an answer.
func fetch(url string) string {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return ""
	}
	return sendOnce(req).Body
}
