package org.catkingate.agent.idempotency;

import java.util.List;

import org.catkingate.decisions.idempotency.StoredResponse;

/**
 * Permit of a call without a key. Such a call runs at most once, since the system sends
 * it only once. Stateless.
 */
enum UnkeyedPermit implements RunPermit {

	INSTANCE;

	@Override
	public boolean tryStart() {
		return true;
	}

	@Override
	public void abandon() {
	}

	@Override
	public void recordHead(int status, List<StoredResponse.Header> headers) {
	}

	@Override
	public void recordBody(byte[] bytes) {
	}

	@Override
	public void complete() {
	}

	@Override
	public void fail() {
	}

}
