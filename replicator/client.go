package replicator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

// proposeRetryDelayMillis is the delay before the next round of attempts, after all
// replicas were tried.
const proposeRetryDelayMillis = 100

// Client proposes commands from any instance, with or without a local replica. It
// retries a command until it is applied or the context ends, so commands must be
// idempotent. It implements [figseam.Proposer].
type Client struct {
	local     *Node
	transport Transport
	voters    func() []figseam.InstanceID

	// mu guards leader.
	mu     sync.Mutex
	leader figseam.InstanceID
}

// NewClient returns a client. local is this instance's replica, or nil; voters
// returns the instances to which commands are proposed.
func NewClient(local *Node, transport Transport, voters func() []figseam.InstanceID) *Client {
	return &Client{local: local, transport: transport, voters: voters}
}

// Propose implements [figseam.Proposer]. If the context ends, the error matches
// [figseam.ErrNotProposed] only if no attempt can have been applied.
func (c *Client) Propose(ctx context.Context, command figseam.Command) ([]byte, error) {
	maybeApplied := false
	for {
		for _, to := range c.instancesToTry() {
			result, err := c.proposeTo(ctx, to, command)
			if err == nil {
				c.setLeader(to)
				return result, nil
			}
			if !errors.Is(err, figseam.ErrNotProposed) {
				maybeApplied = true
			}
			if ctx.Err() != nil {
				break
			}
		}
		select {
		case <-ctx.Done():
			if maybeApplied {
				return nil, ctx.Err()
			}
			return nil, fmt.Errorf("%w: %w", figseam.ErrNotProposed, ctx.Err())
		case <-time.After(proposeRetryDelayMillis * time.Millisecond):
		}
	}
}

// instancesToTry returns the voters' instances, with the last known leader first.
func (c *Client) instancesToTry() []figseam.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var instances []figseam.InstanceID
	if c.local != nil {
		s := c.local.Status()
		if s.Leader.Instance != "" {
			c.leader = s.Leader.Instance
		}
	}
	if c.leader != "" {
		instances = append(instances, c.leader)
	}
	for _, v := range c.voters() {
		if v != c.leader {
			instances = append(instances, v)
		}
	}
	return instances
}

func (c *Client) setLeader(leader figseam.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

func (c *Client) proposeTo(ctx context.Context, to figseam.InstanceID, command figseam.Command) ([]byte, error) {
	if c.local != nil && to == c.local.settings.Instance {
		return c.local.Propose(ctx, command)
	}
	attemptCtx, cancel := context.WithTimeout(ctx, proposeTimeoutMillis*time.Millisecond)
	defer cancel()
	if c.local != nil && c.local.Status().Leader.Instance == to {
		// A stopped leader does not respond. Without this, a command waits for the whole
		// timeout of its attempt although the next leader is known.
		go func() {
			c.local.awaitOtherLeader(attemptCtx, to)
			cancel()
		}()
	}
	reply, err := c.transport.Propose(attemptCtx, to, ProposeRequest{Command: command})
	switch {
	case err != nil:
		return nil, err
	case reply.Applied:
		return reply.Result, nil
	case reply.OutcomeUnknown:
		return nil, ErrLeadershipLost
	}
	if reply.Leader != "" && reply.Leader != to {
		c.setLeader(reply.Leader)
	}
	return nil, figseam.ErrNotProposed
}

// proposeTimeoutMillis is the timeout of one attempt. It is close to the election
// timeout, so that a stopped leader delays a command only slightly longer than the
// other replicas need to elect a new one.
const proposeTimeoutMillis = 700

// HandlePropose proposes a command for a client on another instance.
func (n *Node) HandlePropose(ctx context.Context, r ProposeRequest) ProposeReply {
	result, err := n.Propose(ctx, r.Command)
	if err == nil {
		return ProposeReply{Applied: true, Result: result}
	}
	if notLeader, ok := errors.AsType[*NotLeaderError](err); ok {
		return ProposeReply{Leader: notLeader.Leader}
	}
	return ProposeReply{OutcomeUnknown: !errors.Is(err, figseam.ErrNotProposed)}
}
