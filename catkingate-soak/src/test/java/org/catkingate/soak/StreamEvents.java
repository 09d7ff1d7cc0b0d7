package org.catkingate.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The events of a stream. Each names its request, the run that made it, its number and
 * the number of the last event, so that a reader can tell the events of runs apart.
 * Stateless.
 */
final class StreamEvents {

	private static final Pattern EVENT = Pattern.compile("id: ([0-9]+)\ndata: (\\S+) (\\S+) ([0-9]+)/([0-9]+)");

	private static final String END = "\n\n";

	private StreamEvents() {
	}

	static String format(String requestId, String signature, int number, int last) {
		return "id: " + number + "\ndata: " + requestId + " " + signature + " " + number + "/" + last + END;
	}

	/**
	 * Parses the complete events of a body.
	 * @return the events; one that cannot be read has the number -1
	 */
	static List<Event> parse(String body) {
		List<Event> events = new ArrayList<>();
		int start = 0;
		int end = body.indexOf(END);
		while (end >= 0) {
			events.add(parseEvent(body.substring(start, end)));
			start = end + END.length();
			end = body.indexOf(END, start);
		}
		return events;
	}

	private static Event parseEvent(String text) {
		Matcher matcher = EVENT.matcher(text);
		if (!matcher.matches() || !matcher.group(1).equals(matcher.group(4))) {
			return new Event(text, "", -1, 0);
		}
		return new Event(matcher.group(2), matcher.group(3), Integer.parseInt(matcher.group(1)),
				Integer.parseInt(matcher.group(5)));
	}

	static boolean endsInsideEvent(String body) {
		return !body.isEmpty() && !body.endsWith(END);
	}

	/**
	 * An event of a stream.
	 *
	 * @param requestId the request
	 * @param signature the run that made the event
	 * @param number its number, starting at 1
	 * @param last the number of the last event
	 */
	record Event(String requestId, String signature, int number, int last) {

	}

}
