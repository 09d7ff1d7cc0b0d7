package org.catkingate.standins.engine;

/**
 * The record of one run of a request by an engine. Immutable.
 *
 * @param request the request identifier
 * @param prompt the prompt
 * @param startedMillis the start of the run, in milliseconds since the epoch
 * @param endedMillis the end of the run, in milliseconds since the epoch
 * @param tokens the number of tokens that were generated
 * @param cancelled whether the run ended before its last token
 * @param digest the digest of the weights at the start of the run
 * @param mixed whether the weights changed during the run
 * @since 0.1
 */
public record EngineRun(String request, String prompt, long startedMillis, long endedMillis, int tokens,
		boolean cancelled, String digest, boolean mixed) {

}
