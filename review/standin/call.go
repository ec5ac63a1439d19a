package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// oneCall uses each connection for one call, as clients of the batch interface do.
var oneCall = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one HTTP call and reads the whole answer.
func call(
	ctx context.Context, timeout time.Duration, method, address, path, host string, header map[string]string, body []byte,
) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := oneCall.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}
