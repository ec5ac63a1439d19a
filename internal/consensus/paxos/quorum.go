package paxos

// QuorumSize is the least number of voters that decides: a majority, so that any two quorums have a voter in common.
func QuorumSize(voters int) int { return voters/2 + 1 }
