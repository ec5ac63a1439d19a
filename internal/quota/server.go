package quota

import (
	"sync"
	"time"

	"dunetide/internal/platform/link"
)

// Server counts the requests of tenants at a store. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	counter *counter
}

// NewServer returns a server for the partitions that a store leads.
func NewServer(leadership Leadership, slack Slack) *Server {
	return &Server{counter: newCounter(leadership, slack, time.Now())}
}

// Message answers a message of a proxy. It does not block: buckets are in memory.
func (s *Server) Message(m *link.Message) {
	request, err := ReadAdmitRequest(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	reply := s.Admit(request)
	m.Reply(reply.Encode())
}

// Admit answers the demands of a request, in their order.
func (s *Server) Admit(request *AdmitRequest) *AdmitReply {
	reply := &AdmitReply{Answers: make([]Answer, 0, len(request.Demands))}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range request.Demands {
		reply.Answers = append(reply.Answers, s.counter.answer(&request.Demands[i], time.Now))
	}
	return reply
}
