package org.catkingate.runtime.staging;

import java.net.InetSocketAddress;

import org.catkingate.runtime.http.BufferedHttpClient;

/**
 * A factory for clients of the origin of weights that a configuration specifies.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PieceOriginFactory {

	/**
	 * Creates a client of an origin.
	 * @param httpClient the HTTP client
	 * @param address the address of the origin
	 * @return the client, never null
	 */
	PieceOrigin open(BufferedHttpClient httpClient, InetSocketAddress address);

}
