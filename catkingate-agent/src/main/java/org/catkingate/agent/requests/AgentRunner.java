package org.catkingate.agent.requests;

import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.runtime.http.ConnectionPool;

/**
 * A runner of this agent with its gate, queue and connection pool. Immutable; its parts
 * are safe for use by any thread.
 *
 * @param gate the gate
 * @param queue the queue
 * @param connectionPool the pool of connections to the runner
 */
record AgentRunner(RunnerGate gate, RunnerQueue queue, ConnectionPool connectionPool) {

}
