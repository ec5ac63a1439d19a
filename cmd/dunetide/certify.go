package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"dunetide/internal/control/certification"
)

// certifyCmd reads and changes the certificates by calls to a keeper. docs/certified.md describes the
// guarantees of each call.
type certifyCmd struct {
	Put      certifyPutCmd      `cmd:"" help:"Put a complete document of certificates in force."`
	Get      certifyGetCmd      `cmd:"" help:"Write the newest document to standard output."`
	Withdraw certifyWithdrawCmd `cmd:"" help:"Withdraw the certificates of an endpoint immediately."`
}

// keeperAddress is the flag with the address of the keeper to call.
type keeperAddress struct {
	Control string `required:"" help:"A keeper's control address (host:port)."`
}

const (
	// certifyTimeout bounds a command with all its calls.
	certifyTimeout = 10 * time.Second
	// maxWithdrawAttempts bounds the attempts of a withdrawal. An attempt fails if another document
	// is put between its read and its write.
	maxWithdrawAttempts = 10
)

// readCertificates reads and checks a document of certificates. It also returns the raw bytes.
func readCertificates(path string) (*certification.Set, []byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errUsage.Wrap(err)
	}
	s, err := certification.Parse(b)
	if err != nil {
		return nil, nil, errUsage.New("%s: %w", path, err)
	}
	return s, b, nil
}

// errVersionConflict is the error for a document that is based on another version than the newest.
var errVersionConflict = errors.New("another version is in place")

// call calls the certificates API and returns the status and the body of the response.
func (k keeperAddress) call(ctx context.Context, method string, base uint64, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+k.Control+"/certificates", bytes.NewReader(body))
	if err != nil {
		return 0, nil, errUsage.Wrap(err)
	}
	if method == http.MethodPut {
		req.Header.Set("If-Match", strconv.FormatUint(base, 10))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("no valid response from %s, outcome unknown: repeat the same command there or at another keeper: %w",
			k.Control, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, certification.MaxDocumentBytes))
	return resp.StatusCode, b, err
}

// getNewest returns the newest document; nil if there is none.
func (k keeperAddress) getNewest(ctx context.Context) (*certification.Set, error) {
	status, b, err := k.call(ctx, http.MethodGet, 0, nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, nil
	case status != http.StatusOK:
		return nil, responseError(status, b)
	}
	return certification.Parse(b)
}

// responseError returns the error for a response that is not a success.
func responseError(status int, b []byte) error {
	var answer struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(b, &answer) // a response in another format is shown as is
	if answer.Error == "" {
		answer.Error = string(b)
	}
	err := fmt.Errorf("the keeper answered %d: %s", status, answer.Error)
	if status == http.StatusPreconditionFailed {
		err = errors.Join(errVersionConflict, err)
	}
	return err
}

// put puts a document in force that is based on a version, and prints the keeper's guarantee.
func (k keeperAddress) put(ctx context.Context, base uint64, body []byte) error {
	status, b, err := k.call(ctx, http.MethodPut, base, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return responseError(status, b)
	}
	var answer struct {
		Version  uint64 `json:"version"`
		InForce  bool   `json:"in_force"`
		WithinMs int64  `json:"within_ms"`
	}
	if err := json.Unmarshal(b, &answer); err != nil {
		return fmt.Errorf("can't parse the keeper's response: %w", err)
	}
	if answer.InForce {
		fmt.Printf("version %d is in force at all processes that are in touch", answer.Version)
	} else {
		fmt.Printf("version %d is agreed, and not yet acknowledged by all processes that are in touch", answer.Version)
	}
	fmt.Printf("; no process uses an earlier one longer than %d ms from now\n", answer.WithinMs)
	return nil
}

// certifyPutCmd puts a document in force.
type certifyPutCmd struct {
	keeperAddress
	File string  `arg:"" help:"The certificates, as JSON." type:"path"`
	Base *uint64 `help:"The version that the document is based on, 0 for the first document; default: the newest."`
}

// Run implements the command.
func (c certifyPutCmd) Run() error {
	_, body, err := readCertificates(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), certifyTimeout)
	defer cancel()
	base := uint64(0)
	if c.Base != nil {
		base = *c.Base
	} else if s, err := c.getNewest(ctx); err != nil {
		return err
	} else if s != nil {
		base = s.Version
	}
	return c.put(ctx, base, body)
}

// certifyGetCmd prints the newest document.
type certifyGetCmd struct{ keeperAddress }

// Run implements the command.
func (c certifyGetCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), certifyTimeout)
	defer cancel()
	s, err := c.getNewest(ctx)
	if err != nil {
		return err
	}
	if s == nil {
		return errors.New("no certificates were ever put: nothing is regulated")
	}
	_, err = os.Stdout.Write(s.Raw)
	return err
}

// certifyWithdrawCmd removes certificates of an endpoint.
type certifyWithdrawCmd struct {
	keeperAddress
	Endpoint string `arg:"" help:"The id of the endpoint's incarnation."`
	Regime   string `help:"Withdraw only certificates for this regime; default: all of the endpoint."`
}

// Run implements the command. It retries from the newest document if another one was put meanwhile.
func (c certifyWithdrawCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), certifyTimeout)
	defer cancel()
	for attempt := range maxWithdrawAttempts {
		s, err := c.getNewest(ctx)
		if err != nil {
			return err
		}
		if s == nil {
			return errors.New("no certificates were ever put: nothing is regulated")
		}
		next, n := s.Without(c.Endpoint, c.Regime)
		if n == 0 {
			if attempt == 0 {
				return fmt.Errorf("version %d has no such certificate of %s: see dunetide certify get", s.Version, c.Endpoint)
			}
			fmt.Printf("version %d, which came meanwhile, has none of %s\n", s.Version, c.Endpoint)
			return nil
		}
		body, err := json.MarshalIndent(next, "", "  ")
		if err != nil {
			return err
		}
		if err := c.put(ctx, s.Version, body); !errors.Is(err, errVersionConflict) {
			return err
		}
	}
	return fmt.Errorf("the certificates changed during each of %d attempts: try again", maxWithdrawAttempts)
}
