package org.catkingate.runtime.http;

import java.util.regex.Pattern;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;

/**
 * How the end of a response is marked. Stateless and safe for use by any thread.
 */
final class ResponseFraming {

	private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

	private ResponseFraming() {
	}

	/**
	 * Returns whether the headers do not tell where the body ends: several lengths, one
	 * that is no number, a length beside an encoding, or an encoding that the HTTP client
	 * does not decode. The client and the next receiver could read different bodies from
	 * such a response.
	 * @param response the status and the headers
	 * @return whether the response must not be used
	 */
	static boolean isAmbiguous(ClientResponse response) {
		HeaderValues lengths = response.getResponseHeaders().get(Headers.CONTENT_LENGTH);
		HeaderValues encodings = response.getResponseHeaders().get(Headers.TRANSFER_ENCODING);
		if (encodings == null) {
			return lengths != null && (lengths.size() > 1 || !LENGTH.matcher(lengths.getFirst()).matches());
		}
		return lengths != null || encodings.size() > 1
				|| !encodings.getFirst().equalsIgnoreCase(Headers.CHUNKED.toString());
	}

	/**
	 * Returns whether the end of the body is marked by its length or encoding, not by the
	 * end of the connection.
	 * @param request the request
	 * @param response the status and the headers of an unambiguous response
	 * @return whether the end of the connection cannot be taken for the end of the body
	 */
	static boolean isDelimited(ClientRequest request, ClientResponse response) {
		return response.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
				|| response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING) || isBodiless(request, response);
	}

	/**
	 * Returns whether a response has no body, whatever its headers are.
	 * @param request the request
	 * @param response the status and the headers
	 * @return whether the response ends with its head
	 */
	static boolean isBodiless(ClientRequest request, ClientResponse response) {
		return request.getMethod().equals(Methods.HEAD) || response.getResponseCode() == StatusCodes.NO_CONTENT
				|| response.getResponseCode() == StatusCodes.NOT_MODIFIED;
	}

}
