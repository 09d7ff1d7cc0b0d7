package org.catkingate.runtime.settings;

import java.net.InetSocketAddress;
import java.util.List;

import org.catkingate.model.AddressFormatter;
import org.catkingate.model.ini.SectionReader;
import org.catkingate.wire.SharedKey;

/**
 * The settings of connections between gateways and loaders. Immutable.
 *
 * @param listen the address that this process listens on, null if it only opens
 * connections
 * @param seeds the addresses of gateways to connect to; some may be outdated or not
 * reachable
 * @param sharedKey the key that processes use to authenticate each other
 * @since 0.1
 */
public record PeerSettings(InetSocketAddress listen, List<InetSocketAddress> seeds, SharedKey sharedKey) {

	public PeerSettings {
		seeds = List.copyOf(seeds);
	}

	static PeerSettings listening(SectionReader reader) {
		return read(reader, reader.value("listen", null, AddressFormatter::parse));
	}

	static PeerSettings connecting(SectionReader reader) {
		return read(reader, null);
	}

	private static PeerSettings read(SectionReader reader, InetSocketAddress listen) {
		List<InetSocketAddress> seeds = reader.list("seeds", AddressFormatter::parse);
		SharedKey key = reader.secret("shared-key", SharedKey::of);
		reader.checkUnknownKeys();
		return new PeerSettings(listen, seeds, key);
	}

}
