package org.catkingate.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;

import org.catkingate.runtime.calls.MalformedHeadException;

/**
 * A validator that rejects request heads that two HTTP implementations could interpret
 * differently, in order to prevent request smuggling. Stateless.
 */
final class RequestHeadValidator {

	private static final String TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~";

	private RequestHeadValidator() {
	}

	static void validate(HttpServerExchange exchange) throws MalformedHeadException {
		HeaderMap headers = exchange.getRequestHeaders();
		for (HeaderValues values : headers) {
			checkName(values.getHeaderName().toString());
			for (String value : values) {
				checkValue(values.getHeaderName().toString(), value);
			}
		}
		HeaderValues host = headers.get(Headers.HOST);
		if (host == null || host.size() != 1 || host.getFirst().isBlank()) {
			throw new MalformedHeadException("send one Host header");
		}
		checkLength(headers);
		if (exchange.isHttp10() && headers.contains(Headers.TRANSFER_ENCODING)) {
			throw new MalformedHeadException("send chunks with HTTP/1.1 only");
		}
		if (!exchange.getRequestURI().startsWith("/") || exchange.isHostIncludedInRequestURI()) {
			throw new MalformedHeadException("the request target must be a path");
		}
	}

	private static void checkLength(HeaderMap headers) throws MalformedHeadException {
		HeaderValues coding = headers.get(Headers.TRANSFER_ENCODING);
		HeaderValues length = headers.get(Headers.CONTENT_LENGTH);
		if (coding != null
				&& (length != null || coding.size() != 1 || !coding.getFirst().equalsIgnoreCase("chunked"))) {
			throw new MalformedHeadException("send either Content-Length or Transfer-Encoding: chunked");
		}
		if (length != null && (length.size() != 1 || !length.getFirst().matches("[0-9]{1,18}"))) {
			throw new MalformedHeadException("send one Content-Length, a whole number");
		}
	}

	private static void checkName(String name) throws MalformedHeadException {
		for (int i = 0; i < name.length(); i++) {
			char character = name.charAt(i);
			boolean letterOrDigit = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
					|| (character >= '0' && character <= '9');
			if (!letterOrDigit && TOKEN_CHARACTERS.indexOf(character) < 0) {
				throw new MalformedHeadException("a header name holds a character that is not allowed");
			}
		}
		if (name.isEmpty()) {
			throw new MalformedHeadException("a header has no name");
		}
	}

	private static void checkValue(String name, String value) throws MalformedHeadException {
		for (int i = 0; i < value.length(); i++) {
			char character = value.charAt(i);
			if ((character < ' ' && character != '\t') || character == 127) {
				throw new MalformedHeadException("the header " + name + " holds a control character");
			}
		}
	}

}
