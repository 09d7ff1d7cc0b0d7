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
	public boolean start() {
		return true;
	}

	@Override
	public void notStarted() {
	}

	@Override
	public void head(int status, List<StoredResponse.Header> headers) {
	}

	@Override
	public void data(byte[] bytes) {
	}

	@Override
	public void ended() {
	}

	@Override
	public void failed() {
	}

}
