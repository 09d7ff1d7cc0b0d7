package org.catkingate.tests.harness;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

import org.catkingate.standins.Addresses;
import org.catkingate.standins.HttpService;

/**
 * A stand-in in its own process, for tests that freeze or kill it.
 */
public final class StandInProcess implements AutoCloseable {

	private static final Pattern READY_LINE = Pattern.compile("(?m)^ready (\\S+)");

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final ChildProcess process;

	private final InetSocketAddress address;

	private StandInProcess(ChildProcess process, InetSocketAddress address) {
		this.process = process;
		this.address = address;
	}

	public static StandInProcess start(Path directory, String name, String... arguments) {
		ChildProcess process = ChildProcess.start(directory, name,
				ChildProcess.commandLine("catkingate-standins", arguments));
		return new StandInProcess(process, Addresses.parse(process.awaitLine(READY_LINE).group(1)));
	}

	public static StandInProcess restart(StandInProcess previous, Path directory, String name, String... arguments) {
		String[] argumentsWithAddress = Stream
			.concat(Stream.of(arguments), Stream.of("--listen", Addresses.format(previous.address())))
			.toArray(String[]::new);
		return start(directory, name, argumentsWithAddress);
	}

	public ChildProcess process() {
		return this.process;
	}

	public InetSocketAddress address() {
		return this.address;
	}

	public JsonNode readControl(String path) throws IOException, InterruptedException {
		return get("/control/" + path);
	}

	public JsonNode get(String path) throws IOException, InterruptedException {
		URI uri = URI.create("http://" + Addresses.format(this.address) + path);
		return HttpService.JSON
			.readTree(CLIENT.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString()).body());
	}

	public void configure(String... arguments) throws IOException, InterruptedException {
		URI uri = URI.create("http://" + Addresses.format(this.address) + "/control/options");
		HttpRequest request = HttpRequest.newBuilder(uri)
			.PUT(HttpRequest.BodyPublishers.ofString(String.join(" ", arguments)))
			.build();
		CLIENT.send(request, HttpResponse.BodyHandlers.discarding());
	}

	@Override
	public void close() {
		this.process.close();
	}

}
