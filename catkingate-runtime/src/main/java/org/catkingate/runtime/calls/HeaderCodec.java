package org.catkingate.runtime.calls;

import java.util.Set;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;

/**
 * Reads and writes the HTTP headers that carry the metadata of requests and responses in
 * an external protocol. Contains no decision logic. Safe for use by any thread.
 *
 * @since 0.1
 */
public interface HeaderCodec {

	/**
	 * Reads the metadata of a caller's request.
	 * @param headers the headers of the request
	 * @return the metadata, never null
	 * @throws MalformedHeadException if a header cannot be parsed
	 */
	CallerHead readCallerHead(HeaderMap headers) throws MalformedHeadException;

	/**
	 * Returns the headers of a request that are not forwarded to the runner, since they
	 * are meant for this process or are set by it.
	 * @return the names of the headers, never null
	 */
	Set<HttpString> reservedHeaders();

	/**
	 * Adds metadata to the headers of a request to a runner.
	 * @param headers the headers of the request to the runner
	 * @param head the metadata
	 */
	void writeRunnerHead(HeaderMap headers, RunnerHead head);

	/**
	 * Reads the metadata of a runner's response.
	 * @param status the HTTP status
	 * @param headers the headers of the response
	 * @return the metadata, never null
	 */
	RunnerResponseHead readResponseHead(int status, HeaderMap headers);

	/**
	 * Adds the identifier of the request to a rejection that this process writes.
	 * @param headers the headers of the response to the caller
	 * @param requestId the identifier
	 */
	void writeRequestId(HeaderMap headers, String requestId);

}
