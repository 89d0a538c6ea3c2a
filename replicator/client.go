package replicator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

// proposeRetryMillis is the pause after all replicas were tried.
const proposeRetryMillis = 100

// Client proposes commands from any instance, with or without a replica of its
// own. It repeats a command until it is applied or the context ends, so commands
// must be idempotent. It implements [figseam.Proposer].
type Client struct {
	local     *Node
	transport Transport
	voters    func() []figseam.InstanceID

	// mu guards leader.
	mu     sync.Mutex
	leader figseam.InstanceID
}

// NewClient returns a client. local is this instance's replica or nil; voters
// returns the instances to try.
func NewClient(local *Node, transport Transport, voters func() []figseam.InstanceID) *Client {
	return &Client{local: local, transport: transport, voters: voters}
}

// Propose implements [figseam.Proposer].
func (c *Client) Propose(ctx context.Context, command figseam.Command) ([]byte, error) {
	maybe := false
	for {
		for _, to := range c.order() {
			result, err := c.try(ctx, to, command)
			if err == nil {
				c.remember(to)
				return result, nil
			}
			if !errors.Is(err, figseam.ErrNotProposed) {
				maybe = true
			}
			if ctx.Err() != nil {
				break
			}
		}
		select {
		case <-ctx.Done():
			if maybe {
				return nil, ctx.Err()
			}
			return nil, fmt.Errorf("%w: %w", figseam.ErrNotProposed, ctx.Err())
		case <-time.After(proposeRetryMillis * time.Millisecond):
		}
	}
}

// order returns the instances to try, the likely leader first.
func (c *Client) order() []figseam.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var order []figseam.InstanceID
	if c.local != nil {
		s := c.local.Status()
		if s.Leader.Instance != "" {
			c.leader = s.Leader.Instance
		}
	}
	if c.leader != "" {
		order = append(order, c.leader)
	}
	for _, v := range c.voters() {
		if v != c.leader {
			order = append(order, v)
		}
	}
	return order
}

func (c *Client) remember(leader figseam.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

func (c *Client) try(ctx context.Context, to figseam.InstanceID, command figseam.Command) ([]byte, error) {
	if c.local != nil && to == c.local.settings.Instance {
		return c.local.Propose(ctx, command)
	}
	call, cancel := context.WithTimeout(ctx, proposeMillis*time.Millisecond)
	defer cancel()
	reply, err := c.transport.Propose(call, to, ProposeRequest{Command: command})
	switch {
	case err != nil:
		return nil, err
	case reply.Applied:
		return reply.Result, nil
	case reply.LeadershipLost:
		return nil, ErrLeadershipLost
	}
	if reply.Leader != "" && reply.Leader != to {
		c.remember(reply.Leader)
	}
	return nil, figseam.ErrNotProposed
}

// proposeMillis bounds one try, so that a leader that was stopped holds a command
// up for little longer than the others take to elect another one.
const proposeMillis = 700

// HandlePropose serves a client of another instance.
func (n *Node) HandlePropose(ctx context.Context, r ProposeRequest) ProposeReply {
	result, err := n.Propose(ctx, r.Command)
	if err == nil {
		return ProposeReply{Applied: true, Result: result}
	}
	if notLeader, ok := errors.AsType[*NotLeaderError](err); ok {
		return ProposeReply{Leader: notLeader.Leader}
	}
	return ProposeReply{LeadershipLost: !errors.Is(err, figseam.ErrNotProposed)}
}
