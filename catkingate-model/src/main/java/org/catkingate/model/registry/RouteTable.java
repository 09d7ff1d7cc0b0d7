package org.catkingate.model.registry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A table of routes by host and path prefix. The route of a call is the one with the
 * longest matching prefix among the routes of its host. Immutable and safe for use by any
 * thread.
 *
 * @since 0.1
 */
public final class RouteTable {

	private final Map<String, List<Route>> byHost = new HashMap<>();

	private RouteTable(List<Route> routes) {
		for (Route route : routes) {
			this.byHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<Route> longestFirst = Comparator.comparingInt((route) -> -route.pathPrefix().length());
		this.byHost.values().forEach((hostRoutes) -> hostRoutes.sort(longestFirst));
	}

	/**
	 * Creates a table.
	 * @param routes the routes
	 * @return the table, never null
	 */
	public static RouteTable of(List<Route> routes) {
		return new RouteTable(routes);
	}

	/**
	 * Finds the route of a call.
	 * @param hostHeader the value of the Host header, with or without a port
	 * @param path the path of the request as received, without the query
	 * @return the route, or empty if there is none
	 */
	public Optional<Route> find(String hostHeader, String path) {
		for (Route route : this.byHost.getOrDefault(withoutPort(hostHeader), List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the routes.
	 * @return all routes, in no particular order
	 */
	public List<Route> routes() {
		return this.byHost.values().stream().flatMap(List::stream).toList();
	}

	/**
	 * Returns the number of routes.
	 * @return the number of routes
	 */
	public int size() {
		return this.byHost.values().stream().mapToInt(List::size).sum();
	}

	private static String withoutPort(String hostHeader) {
		int colon = hostHeader.lastIndexOf(':');
		String host = (colon < 0) ? hostHeader : hostHeader.substring(0, colon);
		return host.toLowerCase(Locale.ROOT);
	}

}
