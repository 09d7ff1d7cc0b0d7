package org.catkingate.runtime.staging;

import java.net.InetSocketAddress;

import org.catkingate.runtime.http.HttpCalls;

/**
 * Opens the origin of weights that a configuration names.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface OriginAccess {

	/**
	 * Opens an origin.
	 * @param calls makes the calls
	 * @param address where the origin is
	 * @return the origin, never null
	 */
	PieceOrigin open(HttpCalls calls, InetSocketAddress address);

}
