package paxos

// QuorumSize returns the size of a quorum: a majority, so that any two quorums have a voter in common.
func QuorumSize(voters int) int { return voters/2 + 1 }
