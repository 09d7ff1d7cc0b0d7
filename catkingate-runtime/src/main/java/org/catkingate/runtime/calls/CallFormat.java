package org.catkingate.runtime.calls;

import java.util.Set;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;

/**
 * Reads and writes the heads of calls in an outside protocol. Decides nothing. Safe for
 * use by any thread.
 *
 * @since 0.1
 */
public interface CallFormat {

	/**
	 * Reads what a caller says of its call.
	 * @param headers the headers of the request
	 * @return what they say, never null
	 * @throws MalformedHeadException if a header cannot be understood
	 */
	CallerHead read(HeaderMap headers) throws MalformedHeadException;

	/**
	 * Lists the headers of a request that are not passed on to the runner, since they are
	 * for this process or are set by it.
	 * @return their names, never null
	 */
	Set<HttpString> ownHeaders();

	/**
	 * Adds what is said to the runner.
	 * @param headers the headers of the request to the runner
	 * @param head what to say
	 */
	void write(HeaderMap headers, RunnerHead head);

	/**
	 * Reads what a runner says with its answer.
	 * @param status the HTTP status
	 * @param headers the headers of the answer
	 * @return what they say, never null
	 */
	AnswerHead read(int status, HeaderMap headers);

	/**
	 * Adds the identity of the call to a refusal that this process writes.
	 * @param headers the headers of the answer to the caller
	 * @param requestId the identity
	 */
	void identify(HeaderMap headers, String requestId);

}
