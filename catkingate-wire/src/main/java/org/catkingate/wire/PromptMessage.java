package org.catkingate.wire;

import java.util.List;

import org.catkingate.model.prompts.PartReport;

/**
 * A message by which gateways tell each other of parts of prompts that may crash runners.
 *
 * @since 0.1
 */
public sealed interface PromptMessage extends Message {

	/**
	 * Reports on parts of prompts.
	 *
	 * @param reports the reports, at most {@link #MAX_REPORTS}
	 */
	record PartReports(List<PartReport> reports) implements PromptMessage {

		/** The maximum number of reports in a message. */
		public static final int MAX_REPORTS = 32;

		public PartReports {
			reports = List.copyOf(reports);
			if (reports.size() > MAX_REPORTS) {
				throw new IllegalArgumentException("a message must not have more than " + MAX_REPORTS + " reports");
			}
		}

	}

}
