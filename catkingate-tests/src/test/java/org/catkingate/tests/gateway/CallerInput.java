package org.catkingate.tests.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.catkingate.tests.gateway.RecordingRunner.ResponseForm;

/**
 * The bytes of one request as a caller sends it, and the result that they must have.
 * Immutable.
 *
 * @param name names the form of the request
 * @param id the identifier of the request
 * @param method the method
 * @param target the path and query
 * @param body the body that the runner must receive, one character a byte
 * @param bytes what the caller sends, one character a byte
 * @param result the required result
 */
record CallerInput(String name, String id, String method, String target, String body, String bytes, Result result) {

	private static final List<String> METHODS = List.of("GET", "POST", "PUT", "PATCH", "DELETE");

	private static final List<String> TARGETS = List.of("/songs/1", "/songs/a%2Fb%20c", "/songs/1?x=1&y=%3F",
			"/songs/1?a?b=/../c", "/songs/x;p=1/y;q=2", "/songs//two", "/songs/a/../b", "/songs/+~!$'()*,@:",
			"/songs/1?x=%0d%0aHost:%20other", "/songs/1?&&=&", "/songs/%00");

	private static final int MAX_BODY_BYTES = 3000;

	@Override
	public String toString() {
		return this.name;
	}

	/**
	 * Generates a well-formed request.
	 */
	static CallerInput wellFormed(SplittableRandom random, String id) {
		String method = METHODS.get(random.nextInt(METHODS.size()));
		String target = TARGETS.get(random.nextInt(TARGETS.size()));
		boolean withBody = !method.equals("GET") && random.nextInt(4) > 0;
		String body = withBody ? body(random) : "";
		ResponseForm form = ResponseForm.values()[random.nextInt(ResponseForm.values().length)];
		StringBuilder bytes = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
		List<String> lines = new ArrayList<>(List.of("Host: " + TestGateway.HOST, "x-request-ID:" + id,
				"X-Deadline-Ms: 2500", "Authorization: Bearer " + TestGateway.API_KEY,
				RecordingRunner.RESPONSE_HEADER + ":  " + form + " ", "X-Twice: a", "X-Twice: b",
				"X-Bytes: \u00e9\t" + "z".repeat(random.nextInt(200))));
		String content = "";
		if (withBody && random.nextBoolean()) {
			lines.add("Transfer-Encoding: chunked");
			content = chunks(random, body);
		}
		else if (withBody) {
			lines.add("Content-Length: " + body.length());
			content = body;
		}
		while (!lines.isEmpty()) {
			bytes.append(lines.remove(random.nextInt(lines.size()))).append("\r\n");
		}
		return new CallerInput("well-formed " + method + " " + target + " " + form, id, method, target, body,
				bytes + "\r\n" + content, Result.SERVED);
	}

	private static String body(SplittableRandom random) {
		StringBuilder body = new StringBuilder();
		switch (random.nextInt(3)) {
			case 0 -> body.append(hidden("in-a-body"));
			case 1 -> body.append("0\r\n\r\n").append(hidden("behind-a-last-chunk"));
			default -> {
				int length = random.nextInt(MAX_BODY_BYTES);
				for (int i = 0; i < length; i++) {
					body.append((char) random.nextInt(256));
				}
			}
		}
		return body.toString();
	}

	private static String hidden(String id) {
		return "GET /songs/hidden HTTP/1.1\r\nHost: " + TestGateway.HOST + "\r\nX-Request-Id: " + id
				+ "\r\nAuthorization: Bearer " + TestGateway.API_KEY + "\r\n\r\n";
	}

	private static String chunks(SplittableRandom random, String body) {
		StringBuilder chunks = new StringBuilder();
		int position = 0;
		while (position < body.length()) {
			int length = 1 + random.nextInt(body.length() - position);
			String size = Integer.toHexString(length);
			size = random.nextBoolean() ? size.toUpperCase(java.util.Locale.ROOT) : "00" + size;
			String extension = List.of("", ";x", ";x=y", "; x=\"1;2\"", ";x=1;y=2").get(random.nextInt(5));
			chunks.append(size)
				.append(extension)
				.append("\r\n")
				.append(body, position, position + length)
				.append("\r\n");
			position += length;
		}
		return chunks + List.of("0\r\n\r\n", "000;x\r\n\r\n", "0\r\nX-Trailer: x\r\n\r\n").get(random.nextInt(3));
	}

	/**
	 * Creates requests of every form that is malformed, or that may be rejected.
	 * @param id the identifier of each of them
	 * @return the requests, each with another name
	 */
	static List<CallerInput> irregular(String id) {
		List<CallerInput> inputs = new ArrayList<>();
		addIrregularChunks(inputs, id);
		addIrregularLengths(inputs, id);
		addIrregularHeads(inputs, id);
		return inputs;
	}

	private static void addIrregularChunks(List<CallerInput> inputs, String id) {
		String end = "0\r\n\r\n";
		inputs.add(chunked("chunk longer than its size", id, "3;x\r\nabcd\r\n" + end));
		inputs.add(chunked("chunk longer than its size by a request", id, "3\r\nabc" + hidden("h") + "\r\n" + end));
		inputs.add(chunked("chunk shorter than its size", id, "5\r\nabc\r\n" + end + "........"));
		inputs.add(chunked("chunk without a line end", id, "3\r\nabc" + end));
		inputs.add(chunked("chunk with LF behind its data", id, "3\r\nabc\n" + end));
		inputs.add(chunked("chunk with CR behind its data", id, "3\r\nabc\r" + end));
		inputs.add(chunked("chunk size with LF", id, "3\nabc\r\n" + end));
		inputs.add(chunked("chunk size with CR", id, "3\rabc\r\n" + end));
		inputs.add(chunked("chunk size with CR and a byte", id, "3\rX\nabc\r\n" + end));
		inputs.add(chunked("chunk size without digits", id, "\r\nabc\r\n" + end));
		inputs.add(chunked("chunk size of an extension only", id, ";x\r\nabc\r\n" + end));
		inputs.add(chunked("chunk size with a sign", id, "+3\r\nabc\r\n" + end));
		inputs.add(chunked("negative chunk size", id, "-3\r\nabc\r\n" + end));
		inputs.add(chunked("chunk size with 0x", id, "0x3\r\nabc\r\n" + end));
		inputs.add(chunked("chunk size behind a space", id, " 3\r\nabc\r\n" + end));
		inputs.add(chunked("chunk size before a space", id, "3 \r\nabc\r\n" + end));
		inputs.add(chunked("two chunk sizes", id, "3 3\r\nabc\r\n" + end));
		inputs.add(chunked("chunk size that is no number", id, "xyz\r\nabc\r\n" + end));
		inputs.add(chunked("chunk size of 65 bits", id, "10000000000000003\r\nabc\r\n" + end));
		inputs.add(chunked("chunk size of 64 bits", id, "ffffffffffffffff\r\nabc\r\n" + end));
		inputs.add(chunked("chunk size of 62 bits", id, "4000000000000003\r\nabc\r\n" + end));
		inputs.add(chunked("chunk extension with LF", id, "3;x\ny\r\nabc\r\n" + end));
		inputs.add(chunked("chunk extension with CR", id, "3;x\ry\r\nabc\r\n" + end));
		inputs.add(chunked("chunk extension with NUL", id, "3;x\0\r\nabc\r\n" + end));
		inputs.add(chunked("chunk extension of 200 KB", id, "3;" + "x".repeat(200_000) + "\r\nabc\r\n" + end));
		inputs.add(chunked("last chunk with a byte behind it", id, "3\r\nabc\r\n0\r\nX\r\n\r\n"));
		inputs.add(chunked("last chunk with LF", id, "3\r\nabc\r\n0\n\n" + "........"));
		inputs.add(chunked("last chunk with LF behind the trailer", id, "3\r\nabc\r\n0\r\nX-A: b\n\n........"));
		inputs.add(chunked("trailer with a bare CR", id, "3\r\nabc\r\n0\r\nX-A: b\rc\r\n\r\n"));
		inputs.add(chunked("trailer of 200 KB", id, "3\r\nabc\r\n0\r\nX-A: " + "x".repeat(200_000) + "\r\n\r\n"));
		inputs.add(chunked("chunks of 200 KB", id, ("1000\r\n" + "x".repeat(0x1000) + "\r\n").repeat(50) + end));
	}

	private static void addIrregularLengths(List<CallerInput> inputs, String id) {
		String body = "abc";
		List<String> lines = List.of("Content-Length: 3\r\nContent-Length: 3",
				"Content-Length: 3\r\nContent-Length: 30", "Content-Length: 3, 3", "Content-Length: +3",
				"Content-Length: -3", "Content-Length: 0x3", "Content-Length: 3 3", "Content-Length: 3;",
				"Content-Length:", "Content-Length: x", "Content-Length: 99999999999999999999",
				"Content-Length: 3\u000b", "Content-Length : 3", "Transfer-Encoding: identity\r\nContent-Length: 3",
				"Transfer-Encoding: identity", "Transfer-Encoding: gzip", "Transfer-Encoding:");
		for (String line : lines) {
			inputs.add(headed(line, id, line, body, Result.REJECTED));
		}
		String chunks = "3\r\nabc\r\n0\r\n\r\n";
		List<String> codings = List.of("Transfer-Encoding: chunked\r\nContent-Length: 3",
				"Content-Length: 3\r\nTransfer-Encoding: chunked", "Content-Length: 13\r\ntransfer-encoding: Chunked",
				"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
				"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip, chunked",
				"Transfer-Encoding: chunked, identity", "Transfer-Encoding: xchunked", "Transfer-Encoding: chunked;x",
				"Transfer-Encoding: \"chunked\"", "Transfer-Encoding: \u000bchunked", "Transfer-Encoding : chunked");
		for (String line : codings) {
			inputs.add(headed(line, id, line, chunks, Result.REJECTED));
		}
		inputs.add(headed("folded coding", id, "Transfer-Encoding:\r\n chunked", chunks, Result.EITHER));
		inputs.add(headed("folded length", id, "Content-Length:\r\n 3", body, Result.EITHER));
		inputs.add(headed("folded header", id, "Content-Length: 3\r\nX-Folded: a\r\n\tb\r\n  c", body, Result.EITHER));
		inputs.add(headed("folded header that hides a coding", id,
				"Content-Length: 3\r\nX-Folded: a\r\n Transfer-Encoding: chunked", body, Result.EITHER));
		inputs.add(headed("body of 200 KB", id, "Content-Length: 200000", "x".repeat(200_000), Result.REJECTED));
		inputs.add(raw("chunks in HTTP/1.0", id,
				head("POST /songs/1 HTTP/1.0", id, "Transfer-Encoding: chunked") + chunks, Result.REJECTED));
	}

	private static void addIrregularHeads(List<CallerInput> inputs, String id) {
		List<String> lines = List.of("Host: other.example", "Host: " + TestGateway.HOST, ": x", "X A: x", "X-A : x",
				"X-A", "X-\u00e9: x", "X-(: x", "X-A: x\0y", "X-A: x\ry", "X-A: x\rX-B: y", "X-A: x\r", "X-A: x\u007f",
				"X-A: x\u0001", "X-Request-Id: other", "X-A: " + "x".repeat(20_000), "X-A: " + "x".repeat(200_000),
				"X".repeat(20_000) + ": x", "X-A: x\r\n".repeat(200) + "X-B: y",
				"X-A: x\r\nX-A: y\r\n".repeat(2000) + "X-B: y");
		for (String line : lines) {
			String shown = line.substring(0, Math.min(24, line.length())) + " (" + line.length() + ")";
			inputs.add(headed("header " + shown, id, line + "\r\nContent-Length: 3", "abc", Result.REJECTED));
		}
		List<String> requestLines = List.of("POST /songs/1", "POST  /songs/1 HTTP/1.1", "POST /songs/1  HTTP/1.1",
				"POST /songs/1 HTTP/1.1 ", "POST /songs/1 HTTP/2.0", "POST /songs/1 http/1.1",
				"POST /songs/1 HTTP/1.1\rX", "PO\0ST /songs/1 HTTP/1.1", "P(T /songs/1 HTTP/1.1",
				"POST songs/1 HTTP/1.1", "POST http://" + TestGateway.HOST + "/songs/1 HTTP/1.1",
				"POST /songs/\u0001 HTTP/1.1", "POST /songs/\u00e9 HTTP/1.1", "POST /songs/a b HTTP/1.1",
				"POST /songs/1#x HTTP/1.1", "POST /songs/\t HTTP/1.1", "POST\t/songs/1 HTTP/1.1", "POST * HTTP/1.1",
				" POST /songs/1 HTTP/1.1", "POST /songs/" + "x".repeat(20_000) + " HTTP/1.1",
				"X".repeat(20_000) + " /songs/1 HTTP/1.1");
		for (String line : requestLines) {
			inputs.add(raw(line.substring(0, Math.min(40, line.length())) + " (" + line.length() + ")", id,
					head(line, id, "Content-Length: 3") + "abc", Result.REJECTED));
		}
		String sound = head("POST /songs/1 HTTP/1.1", id, "Content-Length: 3") + "abc";
		inputs.add(raw("no Host", id, sound.replaceFirst("Host: [^\r]*\r\n", ""), Result.REJECTED));
		inputs
			.add(raw("first header with a space before it", id, sound.replaceFirst("Host", " Host"), Result.REJECTED));
		inputs.add(raw("LF behind the request line", id, sound.replaceFirst("\r\n", "\n"), Result.EITHER));
		inputs.add(raw("LF behind a header", id, sound.replaceFirst("(Host: [^\r]*)\r\n", "$1\n"), Result.EITHER));
		inputs.add(raw("LF behind the head", id, sound.replaceFirst("\r\n\r\n", "\r\n\n"), Result.EITHER));
		inputs.add(raw("LF throughout the head", id, sound.replace("\r\n", "\n"), Result.EITHER));
		inputs.add(raw("no request", id, "\u0016\u0003\u0001\u0002\0\u0001\0\u0001\r\n\r\n", Result.REJECTED));
	}

	private static CallerInput chunked(String name, String id, String chunks) {
		return headed(name, id, "Transfer-Encoding: chunked", chunks, Result.REJECTED);
	}

	private static CallerInput headed(String name, String id, String lines, String content, Result result) {
		return raw(name, id, head("POST /songs/1 HTTP/1.1", id, lines) + content, result);
	}

	private static CallerInput raw(String name, String id, String bytes, Result result) {
		return new CallerInput(name, id, "POST", "/songs/1", "abc", bytes, result);
	}

	private static String head(String requestLine, String id, String lines) {
		return requestLine + "\r\nHost: " + TestGateway.HOST + "\r\nX-Request-Id: " + id
				+ "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer " + TestGateway.API_KEY + "\r\n" + lines
				+ "\r\n\r\n";
	}

	/**
	 * The required result of a request.
	 */
	enum Result {

		/** The runner receives it unchanged, and the caller its response. */
		SERVED,

		/** No runner receives any of it; the caller is rejected and disconnected. */
		REJECTED,

		/** Either of the two, since HTTP allows both. */
		EITHER

	}

}
