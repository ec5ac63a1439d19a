package planted

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
)

func Undocumented() {}

// Errors drops an error, compares another and wraps a third without %w.
func Errors(path string) error {
	os.Remove(path)
	_, err := os.Stat(path)
	if err == os.ErrNotExist {
		return errors.New("missing")
	}
	return fmt.Errorf("looking at %s: %v", path, err)
}

// Network listens without a context and leaves a body open. It is mispelled: recieve.
func Network() (net.Listener, error) {
	resp, err := http.DefaultClient.Do(nil)
	if err != nil || resp.StatusCode != 200 {
		return nil, err
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

func double(unused, n int) int {
	for i := range n {
		n += i * n
	}
	return n
}

// Double passes an argument that is of no use.
func Double(n int) int { return double(n, n) }

// Long has too many lines.
func Long(n int) int {
	n += 0
	n += 1
	n += 2
	n += 3
	n += 4
	n += 5
	n += 6
	n += 7
	n += 8
	n += 9
	n += 10
	n += 11
	n += 12
	n += 13
	n += 14
	n += 15
	n += 16
	n += 17
	n += 18
	n += 19
	n += 20
	n += 21
	n += 22
	n += 23
	n += 24
	n += 25
	n += 26
	n += 27
	n += 28
	n += 29
	n += 30
	n += 31
	n += 32
	n += 33
	n += 34
	n += 35
	n += 36
	n += 37
	n += 38
	n += 39
	n += 40
	n += 41
	n += 42
	n += 43
	n += 44
	n += 45
	n += 46
	n += 47
	n += 48
	n += 49
	n += 50
	n += 51
	n += 52
	n += 53
	n += 54
	n += 55
	n += 56
	n += 57
	n += 58
	n += 59
	n += 60
	n += 61
	return n
}

// Complex nests too much.
func Complex(n int) int {
	for i := range n {
		if i > 1 {
			for j := range i {
				if j > 2 {
					for k := range j {
						if k > 3 && j > 4 || i > 5 {
							n++
						} else if n > 7 && k > 8 {
							n += 3
						} else if k > 6 {
							n--
						} else {
							n += 2
						}
					}
				}
			}
		}
	}
	return n
}
