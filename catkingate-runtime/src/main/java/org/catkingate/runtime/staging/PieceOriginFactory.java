package org.catkingate.runtime.staging;

import java.net.InetSocketAddress;

import org.catkingate.runtime.http.BufferedHttpClient;

/**
 * A factory for the origin of weights that a configuration specifies.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PieceOriginFactory {

	/**
	 * Creates the access to an origin.
	 * @param calls the HTTP client
	 * @param address the address of the origin
	 * @return the origin, never null
	 */
	PieceOrigin open(BufferedHttpClient calls, InetSocketAddress address);

}
