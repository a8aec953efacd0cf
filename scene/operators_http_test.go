package scene

import (
	"io"
	"net/http"
)

// sendOnce sends a request without following redirects.
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

// fetch sends a GET request and returns the body, or "" on an error.
func fetch(url string) string {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return ""
	}
	return sendOnce(req).Body
}
