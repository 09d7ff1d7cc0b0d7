package org.catkingate.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.catkingate.standins.raw.RawServer;

/**
 * A stand-in of the origin of weights, which can corrupt pieces and break off. Safe for
 * use by any thread.
 */
final class OriginStandIn implements AutoCloseable {

	private static final int FAULT_CYCLE = 4;

	private final AtomicInteger calls = new AtomicInteger();

	private final RawServer server;

	private volatile boolean faulty;

	OriginStandIn() throws IOException {
		this.server = RawServer.respondingTo(this::respond);
	}

	InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Changes whether every fourth piece is corrupted and every fourth breaks off.
	 */
	void beFaulty(boolean next) {
		this.faulty = next;
	}

	private RawServer.Response respond(RawServer.Request request) {
		String target = request.head().split(" ")[1];
		Map<String, Long> query = ModelWeights.parseQuery(target);
		if (target.startsWith("/manifest/" + ModelWeights.MODEL)) {
			return ModelWeights.createResponse(200, ModelWeights.manifest(query.get("Version")));
		}
		if (!target.startsWith("/piece/" + ModelWeights.MODEL)) {
			return ModelWeights.createResponse(404, "");
		}
		byte[] piece = ModelWeights.piece(query.get("Version"), query.get("Num").intValue());
		int turn = this.calls.getAndIncrement() % FAULT_CYCLE;
		if (this.faulty && turn == 0) {
			piece[piece.length / 2]++;
		}
		RawServer.Response whole = ModelWeights.createResponse(200, new String(piece, StandardCharsets.ISO_8859_1));
		if (this.faulty && turn == 1) {
			String text = whole.parts().get(0);
			return new RawServer.Response(List.of(text.substring(0, text.length() / 2)), RawServer.Ending.CLOSE, 0);
		}
		return whole;
	}

	@Override
	public void close() {
		this.server.close();
	}

}
