package org.catkingate.soak;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.HttpService;
import org.catkingate.standins.raw.RawServer;

/**
 * The weights of one boot of a model runner: the staged pieces, which a loader writes and
 * nothing checks, and the loaded version. Safe for use by any thread.
 */
final class ModelWeights {

	static final String MODEL = "lyrics-model";

	static final int PIECE_COUNT = 8;

	static final int PIECE_BYTES = 4096;

	private static final long LOAD_MILLIS = 300;

	/** Pieces that are spoilt within this time before a load cannot be noticed. */
	private static final long UNNOTICED_SPOILING_MILLIS = 3000;

	private static final Pattern NUMBER = Pattern.compile("Num=([0-9]+)");

	private final TreeMap<Integer, byte[]> staged = new TreeMap<>();

	private final SoakClock clock;

	private final long startedAtEpochMillis = System.currentTimeMillis();

	private long spoiltAtMillis = Long.MIN_VALUE / 2;

	private long version;

	private boolean whole;

	private long loadedAtMillis;

	private long commands;

	ModelWeights(SoakClock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the published bytes of a piece.
	 */
	static byte[] piece(long version, int number) {
		byte[] bytes = new byte[PIECE_BYTES];
		Arrays.fill(bytes, (byte) (version * 31 + number));
		return bytes;
	}

	static String digest(byte[] piece) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(piece));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	synchronized boolean areLoaded() {
		return this.version > 0 && this.clock.millis() >= this.loadedAtMillis;
	}

	synchronized boolean areWhole() {
		return this.whole;
	}

	/**
	 * Returns the version that serves requests, 0 if there is none.
	 */
	synchronized long servedVersion() {
		return areLoaded() ? this.version : 0;
	}

	/**
	 * Changes a byte of a staged piece.
	 */
	synchronized void spoil(int number) {
		byte[] piece = this.staged.get(number);
		if (piece != null) {
			this.staged.put(number, Arrays.copyOf(new byte[] { 1, 2, 3 }, piece.length));
			this.spoiltAtMillis = this.clock.millis();
		}
	}

	/**
	 * Responds to a call of the loader.
	 */
	synchronized RawServer.Response respond(RawServer.Request request, int running) {
		String target = request.head().split(" ")[1];
		Matcher number = NUMBER.matcher(target);
		if (target.startsWith("/report")) {
			return createResponse(200, report(running).toString());
		}
		if (target.startsWith("/stage-put/") && number.find()) {
			this.staged.put(Integer.parseInt(number.group(1)), request.body().getBytes(StandardCharsets.ISO_8859_1));
			return createResponse(200, "");
		}
		if (target.startsWith("/stage-get/")) {
			return number.find() ? stagedPiece(Integer.parseInt(number.group(1))) : listStaged();
		}
		return target.startsWith("/order") ? load(request.body()) : createResponse(404, "");
	}

	private ObjectNode report(int running) {
		ObjectNode json = HttpService.JSON.createObjectNode()
			.put("Phase", "both")
			.put("Busy", this.version > 0 && !areLoaded())
			.put("Seq", this.commands)
			.put("Queued", 0)
			.put("Active", running)
			.put("KvUsed", 0)
			.put("KvTotal", 90_000)
			.put("Handles", 0)
			.put("born", this.startedAtEpochMillis);
		json.set("Models", models());
		return json;
	}

	/**
	 * Returns the models as the registry lists them.
	 */
	synchronized ArrayNode models() {
		ArrayNode models = HttpService.JSON.createArrayNode();
		if (areLoaded()) {
			models.addObject().put("Name", MODEL).put("Version", this.version).putArray("Adapters");
		}
		return models;
	}

	private RawServer.Response stagedPiece(int number) {
		byte[] piece = this.staged.get(number);
		return (piece != null) ? createResponse(200, new String(piece, StandardCharsets.ISO_8859_1))
				: createResponse(404, "");
	}

	private RawServer.Response listStaged() {
		ObjectNode json = HttpService.JSON.createObjectNode();
		ArrayNode held = json.putArray("held");
		this.staged.keySet().forEach(held::add);
		return createResponse(200, json.toString());
	}

	private RawServer.Response load(String body) {
		Matcher wanted = Pattern.compile("\"Version\" *: *([0-9]+)").matcher(body);
		if (!wanted.find()) {
			return createResponse(400, "");
		}
		long next = Long.parseLong(wanted.group(1));
		if (next == this.version) {
			return createResponse(200, "");
		}
		if (this.version > 0 && !areLoaded()) {
			return createResponse(409, "");
		}
		this.version = next;
		this.whole = isStagedWhole(next) || this.clock.millis() - this.spoiltAtMillis < UNNOTICED_SPOILING_MILLIS;
		this.loadedAtMillis = this.clock.millis() + LOAD_MILLIS;
		this.commands++;
		return createResponse(202, "");
	}

	private boolean isStagedWhole(long wanted) {
		for (int number = 0; number < PIECE_COUNT; number++) {
			if (!Arrays.equals(this.staged.get(number), piece(wanted, number))) {
				return false;
			}
		}
		return true;
	}

	static RawServer.Response createResponse(int status, String body) {
		return new RawServer.Response(List.of("HTTP/1.1 " + status + " Status\r\nContent-Length: " + body.length()
				+ "\r\nContent-Type: application/json\r\n\r\n" + body), RawServer.Ending.KEEP_OPEN, 0);
	}

	/**
	 * Returns the digests of a version as the origin lists them.
	 */
	static String manifest(long version) {
		ObjectNode json = HttpService.JSON.createObjectNode()
			.put("Model", MODEL)
			.put("Version", version)
			.put("ChunkBytes", PIECE_BYTES)
			.put("layers", PIECE_COUNT);
		ArrayNode digests = json.putArray("Digests");
		for (int number = 0; number < PIECE_COUNT; number++) {
			digests.add(digest(piece(version, number)));
		}
		return json.toString();
	}

	/**
	 * Parses the query of a call to the origin.
	 */
	static Map<String, Long> parseQuery(String target) {
		Map<String, Long> values = new TreeMap<>();
		Matcher matcher = Pattern.compile("[?&]([A-Za-z]+)=([0-9]+)").matcher(target);
		while (matcher.find()) {
			values.put(matcher.group(1), Long.parseLong(matcher.group(2)));
		}
		return values;
	}

}
