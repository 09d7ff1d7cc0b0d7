package org.catkingate.agent.requests;

import org.catkingate.wire.Traffic;

/**
 * Lets every call run. Stateless.
 */
enum Unguarded implements NonIdempotentCalls {

	INSTANCE;

	@Override
	public Verdict before(Traffic.Dispatch dispatch) {
		return new Verdict.Run();
	}

	@Override
	public void notSent(Traffic.Dispatch dispatch) {
	}

	@Override
	public void answered(Traffic.Dispatch dispatch, KeptAnswer answer) {
	}

	@Override
	public void brokenOff(Traffic.Dispatch dispatch) {
	}

}
