package org.catkingate.gateway;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventCounter}.
 */
class EventCounterTests {

	// Guards against memory of a runner that is counted wrongly since a stream arrives in
	// parts or with other line ends.
	@Test
	void countsCompleteEventsHoweverTheyArrive() {
		String stream = "\n\nid: 1\ndata: a\n\n\nid: 2\r\ndata: b\r\n\r\n: alive\n\nid: 3\ndata: c\n";
		byte[] whole = stream.getBytes(StandardCharsets.UTF_8);
		assertThat(new EventCounter().add(whole)).isEqualTo(3);
		EventCounter inParts = new EventCounter();
		int events = 0;
		for (byte part : whole) {
			events += inParts.add(new byte[] { part });
		}
		assertThat(events).isEqualTo(3);
	}

}
