package org.catkingate.standins;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * An HTTP client for requests to a stand-in.
 */
public final class StandInClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private StandInClient() {
	}

	public static HttpRequest.Builder request(StandIn standIn, String path) {
		return HttpRequest.newBuilder(URI.create("http://" + Addresses.format(standIn.address()) + path))
			.timeout(TIMEOUT);
	}

	public static HttpResponse<String> get(StandIn standIn, String path) throws IOException, InterruptedException {
		return CLIENT.send(request(standIn, path).build(), HttpResponse.BodyHandlers.ofString());
	}

	public static HttpResponse<byte[]> sendForBytes(HttpRequest request) throws IOException, InterruptedException {
		return CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
	}

	public static HttpResponse<InputStream> sendForStream(HttpRequest request)
			throws IOException, InterruptedException {
		return CLIENT.send(request, HttpResponse.BodyHandlers.ofInputStream());
	}

	public static HttpResponse<String> put(StandIn standIn, String path, byte[] body)
			throws IOException, InterruptedException {
		HttpRequest request = request(standIn, path).PUT(HttpRequest.BodyPublishers.ofByteArray(body)).build();
		return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
	}

	public static HttpResponse<String> post(StandIn standIn, String path, String body)
			throws IOException, InterruptedException {
		HttpRequest request = request(standIn, path).POST(HttpRequest.BodyPublishers.ofString(body)).build();
		return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
	}

}
