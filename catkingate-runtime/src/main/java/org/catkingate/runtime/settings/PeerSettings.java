package org.catkingate.runtime.settings;

import java.net.InetSocketAddress;
import java.util.List;

import org.catkingate.model.ini.SectionReader;
import org.catkingate.wire.SharedKey;

/**
 * How other processes are met. Immutable.
 *
 * @param listen where this process listens, null if it only connects
 * @param seeds gateways that may be there, some perhaps stale or down
 * @param sharedKey the key that all processes prove to each other
 * @since 0.1
 */
public record PeerSettings(InetSocketAddress listen, List<InetSocketAddress> seeds, SharedKey sharedKey) {

	public PeerSettings {
		seeds = List.copyOf(seeds);
	}

	static PeerSettings listening(SectionReader reader) {
		return read(reader, reader.parsed("listen", null, SectionParsers::address));
	}

	static PeerSettings connecting(SectionReader reader) {
		return read(reader, null);
	}

	private static PeerSettings read(SectionReader reader, InetSocketAddress listen) {
		List<InetSocketAddress> seeds = reader.list("seeds", SectionParsers::address);
		SharedKey key = reader.secret("shared-key", SharedKey::of);
		reader.checkUnknownKeys();
		return new PeerSettings(listen, seeds, key);
	}

}
