package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// statusTimeout bounds the keeper's response.
const statusTimeout = 5 * time.Second

// statusCmd prints a keeper's view of the system.
type statusCmd struct {
	Control string `arg:"" help:"A keeper's control address (host:port)."`
}

// Run implements the command: it prints the JSON of the keeper's response.
func (s statusCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Control+"/status", nil)
	if err != nil {
		return errUsage.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("no keeper answers at %s (see seeds in a settings file for others): %w", s.Control, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the keeper at %s answered %s: try another one", s.Control, resp.Status)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}
