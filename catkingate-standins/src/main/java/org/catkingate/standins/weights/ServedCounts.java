package org.catkingate.standins.weights;

import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.HttpService;

/**
 * Counters of the data that a server has sent and of the requests it has rejected. Safe
 * for use by any thread.
 *
 * @param dataBytes bytes of weights written to connections
 * @param manifests manifests sent
 * @param dataRequests requests for data
 * @param rejected requests rejected with 429
 */
record ServedCounts(AtomicLong dataBytes, AtomicLong manifests, AtomicLong dataRequests, AtomicLong rejected) {

	static ServedCounts create() {
		return new ServedCounts(new AtomicLong(), new AtomicLong(), new AtomicLong(), new AtomicLong());
	}

	ObjectNode toJson() {
		return HttpService.JSON.createObjectNode()
			.put("dataBytes", this.dataBytes.get())
			.put("manifests", this.manifests.get())
			.put("ranges", this.dataRequests.get())
			.put("refused", this.rejected.get());
	}

}
