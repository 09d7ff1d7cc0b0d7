package org.catkingate.standins.engine;

/**
 * What an engine did for one request. Immutable.
 *
 * @param request the request's identifier
 * @param prompt its prompt
 * @param startedMillis when its run began, in milliseconds since 1970
 * @param endedMillis when its run ended, in milliseconds since 1970
 * @param tokens how many tokens were generated
 * @param cancelled whether it ended before its last token
 * @param digest the digest of the weights at its start
 * @param mixed whether the weights changed during the run
 * @since 0.1
 */
public record EngineRun(String request, String prompt, long startedMillis, long endedMillis, int tokens,
		boolean cancelled, String digest, boolean mixed) {

}
