package org.catkingate.runtime.fleet;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import org.catkingate.model.Digest;
import org.catkingate.model.published.ConfigurationBundle;
import org.catkingate.model.published.ConfigurationHead;
import org.catkingate.wire.ControlMessage;
import org.catkingate.wire.FrameLimits;

/**
 * Encodes and decodes messages with parts of a publication. Each part is compressed only
 * once; the compressed form is kept as long as the part belongs to the publication that
 * was sent last. For use by one thread, except {@link #decode}, which any thread may
 * call.
 */
final class ConfigurationContentCodec {

	/**
	 * The maximum number of compressed bytes in one message; the receiver requests the
	 * rest in another message.
	 */
	private static final int MAX_CONTENT_BYTES = FrameLimits.MAX_FRAME_BYTES - 1024 * 1024;

	private final Map<Digest, byte[]> compressed = new HashMap<>();

	ControlMessage.ConfigurationContent encode(ConfigurationBundle bundle, Set<Digest> heldParts) {
		this.compressed.keySet().retainAll(bundle.parts().keySet());
		List<byte[]> parts = new ArrayList<>();
		long size = bundle.head().length;
		for (Map.Entry<Digest, byte[]> part : bundle.parts().entrySet()) {
			if (heldParts.contains(part.getKey())) {
				continue;
			}
			byte[] compressedPart = this.compressed.computeIfAbsent(part.getKey(),
					(digest) -> compress(part.getValue()));
			size += compressedPart.length;
			if (size > MAX_CONTENT_BYTES) {
				break;
			}
			parts.add(compressedPart);
		}
		return new ControlMessage.ConfigurationContent(bundle.version(), bundle.head(), parts);
	}

	static List<byte[]> decode(ControlMessage.ConfigurationContent content) throws IOException {
		List<byte[]> parts = new ArrayList<>();
		for (byte[] part : content.parts()) {
			parts.add(decompress(part));
		}
		return parts;
	}

	private static byte[] compress(byte[] bytes) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		try (GZIPOutputStream gzip = new GZIPOutputStream(output)) {
			gzip.write(bytes);
		}
		catch (IOException ex) {
			throw new IllegalStateException("failed to compress a part in memory", ex);
		}
		return output.toByteArray();
	}

	private static byte[] decompress(byte[] bytes) throws IOException {
		try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
			byte[] part = gzip.readNBytes(ConfigurationHead.MAX_VALUE_BYTES + 1);
			if (part.length > ConfigurationHead.MAX_VALUE_BYTES) {
				throw new IOException("a part from a peer is longer than " + ConfigurationHead.MAX_VALUE_BYTES
						+ " bytes; run the same release on all instances");
			}
			return part;
		}
	}

}
