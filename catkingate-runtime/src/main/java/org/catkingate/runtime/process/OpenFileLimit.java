package org.catkingate.runtime.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The number of files and sockets that the operating system lets this process open.
 * Stateless.
 *
 * @since 0.1
 */
public final class OpenFileLimit {

	/** The limit that is assumed where none can be read: the usual soft limit. */
	static final int ASSUMED_LIMIT = 1024;

	private static final Logger logger = LoggerFactory.getLogger(OpenFileLimit.class);

	private static final Path LIMITS = Path.of("/proc/self/limits");

	private static final Pattern OPEN_FILES = Pattern.compile("(?m)^Max open files +(\\d+|unlimited) ");

	private OpenFileLimit() {
	}

	/**
	 * Reads the limit. The file is that of Linux; see {@code proc(5)}.
	 * @return the limit, at least 1
	 */
	public static int read() {
		try {
			return parse(Files.readString(LIMITS));
		}
		catch (IOException ex) {
			logger.atWarn()
				.addKeyValue("event", "open-file-limit-unknown")
				.addKeyValue("reason", ex.toString())
				.addKeyValue("assumed", ASSUMED_LIMIT)
				.log("the limit of open files cannot be read; set [callers] max-open-files");
			return ASSUMED_LIMIT;
		}
	}

	static int parse(String limits) throws IOException {
		Matcher matcher = OPEN_FILES.matcher(limits);
		if (!matcher.find()) {
			throw new IOException(LIMITS + " has no line on open files");
		}
		String limit = matcher.group(1);
		boolean fits = !limit.equals("unlimited") && limit.length() < String.valueOf(Integer.MAX_VALUE).length();
		return fits ? Math.max(1, Integer.parseInt(limit)) : Integer.MAX_VALUE;
	}

}
