package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"
)

// statusTimeout bounds a keeper's response.
const statusTimeout = 5 * time.Second

// maxErrorBytes bounds the response of a keeper that refuses a call.
const maxErrorBytes = 64 << 10

// statusCmd prints a keeper's view of the system.
type statusCmd struct {
	Control string `arg:"" help:"A keeper's control address (host:port)."`
}

// Run implements the command: it prints the JSON of the keeper's response.
func (s statusCmd) Run() error { return printView(s.Control, "/status", os.Stdout) }

// tenantsCmd prints a keeper's view of the tenants.
type tenantsCmd struct {
	Control string `arg:"" help:"A keeper's control address (host:port)."`
	Name    string `arg:"" optional:"" help:"A tenant; without it all are listed, 256 at most."`
	After   string `help:"List the tenants whose names follow this one."`
}

// Run implements the command: it prints the JSON of the keeper's response.
func (c tenantsCmd) Run() error {
	parameters := url.Values{}
	if c.Name != "" {
		parameters.Set("name", c.Name)
	}
	if c.After != "" {
		parameters.Set("after", c.After)
	}
	return printView(c.Control, "/tenants?"+parameters.Encode(), os.Stdout)
}

// printView prints a page of the keeper at a control address.
func printView(control, page string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+page, nil)
	if err != nil {
		return errUsage.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("no keeper answers at %s (see seeds in a settings file for others): %w", control, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		_, err = io.Copy(out, resp.Body)
		return err
	case http.StatusNotFound:
		return fmt.Errorf("the keeper at %s answered: %s", control, refusalReason(resp.Body))
	}
	return fmt.Errorf("the keeper at %s answered %s: try another one", control, resp.Status)
}

// refusalReason returns the reason that a keeper gives for refusing a call.
func refusalReason(body io.Reader) string {
	var answer struct {
		Error string `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&answer); err != nil || answer.Error == "" {
		return "404"
	}
	return answer.Error
}
