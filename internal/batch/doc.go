// Package batch keeps batch jobs: stores hold their items and results, proxies take
// them in from clients and run their items at endpoints.
package batch
