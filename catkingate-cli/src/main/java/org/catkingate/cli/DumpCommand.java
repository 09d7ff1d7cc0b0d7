package org.catkingate.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.undertow.client.ClientRequest;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.catkingate.runtime.http.BufferedHttpClient;

/**
 * The command that prints the state of a running process.
 */
@Parameters(commandDescription = "Print the state of a running process as JSON")
final class DumpCommand extends Command {

	private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

	private static final long TIMEOUT_MILLIS = 10_000;

	private final PrintStream out;

	@Parameter(description = "ADDRESS, the [operators] listen address of the process", required = true)
	private String address;

	DumpCommand(PrintStream out) {
		this.out = out;
	}

	@Override
	String example() {
		return "catkingate dump 127.0.0.1:7200";
	}

	@Override
	int run() throws CommandException {
		URI base = baseUri();
		try {
			BufferedHttpClient.Response response = fetchState(base);
			if (response.status() != StatusCodes.OK) {
				throw failure("the process responded with status " + response.status()
						+ "; give the [operators] listen address");
			}
			this.out.print(new String(response.body(), StandardCharsets.UTF_8));
			return ExitCodes.SUCCESS;
		}
		catch (ExecutionException | IOException ex) {
			throw failure(
					"no response; check that the process is running and that this is its [operators] listen address");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw failure("interrupted; run the command again");
		}
	}

	private URI baseUri() throws CommandException {
		try {
			return URI.create("http://" + this.address);
		}
		catch (IllegalArgumentException ex) {
			throw new CommandException(ExitCodes.USAGE,
					"catkingate dump: '" + this.address + "' is not a valid address; " + "use the form IP:PORT");
		}
	}

	private static BufferedHttpClient.Response fetchState(URI base)
			throws IOException, InterruptedException, ExecutionException {
		XnioWorker worker = Xnio.getInstance()
			.createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
		ClientRequest request = new ClientRequest().setMethod(Methods.GET).setPath("/state");
		return BufferedHttpClient.create(worker)
			.call(base, request, BufferedHttpClient.Body.empty(), MAX_RESPONSE_BYTES, TIMEOUT_MILLIS)
			.get();
	}

	private CommandException failure(String message) {
		return new CommandException(ExitCodes.FAILURE, "catkingate dump: " + this.address + ": " + message);
	}

}
